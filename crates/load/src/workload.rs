//! A seeded stream of requests: turns of chats and calls with idempotency keys.

use {
    derive_more::Debug,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    standin::{ChatRequest, Message},
    std::collections::VecDeque,
};

/// The parameters of a workload.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct WorkloadConfig {
    /// The model that chats use.
    pub model: String,
    /// The relative request rates of the teams.
    pub shares: Vec<u32>,
    /// The number of concurrent chats over all teams.
    pub chats: u32,
    /// The number of turns per chat.
    pub turns: u32,
    /// The minimum size in bytes of the message that each turn adds.
    pub turn_bytes: u32,
    /// The number of tokens per answer.
    pub answer_tokens: u32,
    /// The number of requests sent to plain services, per 1000.
    pub plain_permille: u32,
    /// The number of calls to plain services that resend an earlier key, per 1000.
    pub resend_permille: u32,
}

/// One turn of a chat.
#[derive(Clone, Debug)]
pub struct ChatTurn {
    /// The team, by its place in the settings.
    pub team: usize,
    /// The chat's id.
    pub chat: String,
    /// The number of the turn, from 1.
    pub turn: u32,
    /// The request with all messages of the chat so far.
    pub request: ChatRequest,
}

/// A non-idempotent call with an idempotency key.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KeyedCall {
    /// The team, by its place in the settings.
    pub team: usize,
    /// The idempotency key.
    pub key: String,
}

/// The next request to send.
#[derive(Clone, Debug)]
pub enum NextRequest {
    /// A turn of a chat, to be returned with [`Workload::complete_turn`] or
    /// [`Workload::revert_turn`].
    Chat(ChatTurn),
    /// A non-idempotent call.
    Keyed(KeyedCall),
}

/// A seeded stream of requests.
#[derive(Debug)]
pub struct Workload {
    config: WorkloadConfig,
    rng: ChaCha8Rng,
    teams: Vec<TeamChats>,
    next_id: u64,
    calls: Vec<KeyedCall>,
}

/// The chats of one team.
#[derive(Debug, Default)]
struct TeamChats {
    /// Chats between two turns, the one idle for longest first.
    idle: VecDeque<ChatTurn>,
    /// The number of all chats, idle or not.
    count: u32,
}

impl Workload {
    /// Creates a workload. The same configuration and seed give the same requests.
    pub fn new(config: WorkloadConfig, seed: u64) -> Workload {
        let teams = config.shares.iter().map(|_| TeamChats::default()).collect();
        Workload {
            config,
            rng: ChaCha8Rng::seed_from_u64(seed),
            teams,
            next_id: 0,
            calls: Vec::new(),
        }
    }

    /// Returns a request of a random team, weighted by share.
    pub fn next_request(&mut self) -> NextRequest {
        let total: u32 = self.config.shares.iter().sum();
        let mut drawn = self.rng.random_range(0..total.max(1));
        let mut team = 0;
        while drawn >= self.config.shares[team] {
            drawn -= self.config.shares[team];
            team += 1;
        }
        self.next_request_of(team)
    }

    /// Returns a request of `team`.
    pub fn next_request_of(&mut self, team: usize) -> NextRequest {
        if self.rng.random_range(0..1_000) < self.config.plain_permille {
            NextRequest::Keyed(self.next_keyed_call(team))
        } else {
            NextRequest::Chat(self.next_turn(team))
        }
    }

    /// Returns a chat after its turn was answered with `text`.
    pub fn complete_turn(&mut self, mut turn: ChatTurn, text: String) {
        turn.request.messages.push(Message { role: "assistant".to_owned(), content: text });
        self.return_chat(turn);
    }

    /// Returns a chat whose turn was not answered, in the state before the turn.
    pub fn revert_turn(&mut self, mut turn: ChatTurn) {
        turn.request.messages.pop();
        turn.turn -= 1;
        self.return_chat(turn);
    }

    fn return_chat(&mut self, turn: ChatTurn) {
        let chats = &mut self.teams[turn.team];
        if turn.turn >= self.config.turns {
            chats.count -= 1;
        } else {
            chats.idle.push_back(turn);
        }
    }

    fn next_keyed_call(&mut self, team: usize) -> KeyedCall {
        let last_call = self.calls.iter().rev().find(|it| it.team == team).cloned();
        let resend = self.rng.random_range(0..1_000) < self.config.resend_permille;
        if let (true, Some(call)) = (resend, last_call) {
            return call;
        }
        self.next_id += 1;
        let call = KeyedCall { team, key: format!("key-{}", self.next_id) };
        self.calls.push(call.clone());
        call
    }

    fn next_turn(&mut self, team: usize) -> ChatTurn {
        let mut turn = self.next_chat(team);
        turn.turn += 1;
        let content = self.message_content(&turn.chat);
        turn.request.messages.push(Message { role: "user".to_owned(), content });
        turn
    }

    /// Returns the chat that was idle for longest, or a new one if none is idle or the team has
    /// fewer chats than its share.
    fn next_chat(&mut self, team: usize) -> ChatTurn {
        let total: u64 = self.config.shares.iter().map(|it| u64::from(*it)).sum();
        let share = u64::from(self.config.shares[team]) * u64::from(self.config.chats);
        let quota = (share / total.max(1)).max(1);
        let at_quota = u64::from(self.teams[team].count) >= quota;
        if at_quota && let Some(turn) = self.teams[team].idle.pop_front() {
            return turn;
        }
        self.teams[team].count += 1;
        self.next_id += 1;
        let request = ChatRequest {
            model: self.config.model.clone(),
            messages: Vec::new(),
            max_tokens: Some(self.config.answer_tokens),
            stream: true,
        };
        ChatTurn { team, chat: format!("chat-{}", self.next_id), turn: 0, request }
    }

    /// Returns the user message of a turn. It starts with the chat's id, so that no two chats have
    /// the same messages.
    fn message_content(&mut self, chat: &str) -> String {
        let mut content = format!("{chat}:");
        while content.len() < self.config.turn_bytes as usize {
            content += &format!(" {:08x}", self.rng.random::<u32>());
        }
        content
    }
}
