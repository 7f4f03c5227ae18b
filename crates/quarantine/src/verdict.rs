//! Derives verdicts from evidence.

use {
    crate::{evidence::Evidence, subject::Subject},
    derive_more::Debug,
    model::{MILLISECOND, Time},
    smallvec::SmallVec,
    std::{
        cmp::Reverse,
        collections::{HashMap, HashSet},
    },
};

/// The time between two crashes below which they count as one, in microseconds. What ends many
/// endpoints at one moment is rarely a prompt.
const CRASH_SPACING: u64 = 100 * MILLISECOND;

/// The number of separate crashes that convict a part that was sound a short time ago.
const MIN_SEPARATE_CRASHES: usize = 4;

/// The number of crashes that convict such a part even if they happen at one moment.
const MIN_SIMULTANEOUS_CRASHES: usize = 8;

/// A subject must not be sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Verdict {
    /// The number of crashes that the subject explains.
    pub crashes: usize,
    /// When the next trial may begin.
    pub retry_at: Time,
}

/// All verdicts on some evidence.
#[derive(Default, Debug)]
pub(crate) struct Verdicts {
    pub(crate) convicted: HashMap<Subject, Verdict>,
    /// When the verdict on each subject with enough crashes is due.
    pub(crate) pending: HashMap<Subject, Time>,
    /// When the same evidence next leads to other verdicts.
    pub(crate) next_change: Time,
}

/// Convicts subjects, those with the most crashes first. A crash that one of them explains says
/// nothing against subjects with fewer crashes: they were only there.
pub(crate) fn convict(now: Time, table: &HashMap<Subject, Evidence>) -> Verdicts {
    let mut suspects: Vec<_> = table
        .iter()
        .filter(|(subject, evidence)| evidence.crashes().len() >= subject.min_crashes())
        .collect();
    let rank = |it: &(&Subject, &Evidence)| {
        (Reverse(it.1.crashes().len()), matches!(it.0, Subject::Part(_)))
    };
    suspects.sort_unstable_by_key(|it| (rank(it), *it.0));
    let mut verdicts = Verdicts { next_change: Time::NEVER, ..Verdicts::default() };
    let mut explained: HashSet<u64> = HashSet::new();
    for equals in suspects.chunk_by(|a, b| rank(a) == rank(b)) {
        let mut newly_explained = Vec::new();
        for (subject, evidence) in equals {
            let crashes = evidence.crashes();
            let unexplained = crashes.iter().filter(|it| !explained.contains(&it.incarnation));
            let times: SmallVec<[Time; 8]> = unexplained.map(|it| it.at).collect();
            let Some(last) = last_needed(**subject, evidence.is_proved(), &times) else {
                continue;
            };
            let settled_at = last + subject.settle_time();
            if settled_at > now {
                verdicts.next_change = verdicts.next_change.min(settled_at);
                verdicts.pending.insert(**subject, settled_at);
                continue;
            }
            let verdict = Verdict { crashes: crashes.len(), retry_at: evidence.retry_at() };
            verdicts.convicted.insert(**subject, verdict);
            newly_explained.extend(crashes.iter().map(|it| it.incarnation));
        }
        explained.extend(newly_explained);
    }
    verdicts
}

/// Returns when the last crash needed to convict a subject happened, if there are enough at these
/// times.
fn last_needed(subject: Subject, is_proved: bool, times: &[Time]) -> Option<Time> {
    if !is_proved {
        return times.get(subject.min_crashes() - 1).copied();
    }
    let separate = separate(times).nth(MIN_SEPARATE_CRASHES - 1);
    let simultaneous = times.get(MIN_SIMULTANEOUS_CRASHES - 1).copied();
    separate.into_iter().chain(simultaneous).min()
}

/// Returns the times without those that follow another one closely.
fn separate(times: &[Time]) -> impl Iterator<Item = Time> {
    let mut next = Time(0);
    times.iter().copied().filter(move |it| {
        let is_separate = *it >= next;
        if is_separate {
            next = *it + CRASH_SPACING;
        }
        is_separate
    })
}
