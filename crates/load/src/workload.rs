//! Which request comes next: a seeded stream of returning chats and keyed calls.

use {
    derive_more::Debug,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    standin::{ChatRequest, Message},
    std::collections::VecDeque,
};

/// The shape of a workload.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Shape {
    /// The model that chats ask for.
    pub model: String,
    /// The shares of the teams.
    pub shares: Vec<u32>,
    /// Chats that return, over all teams.
    pub chats: u32,
    /// Turns until a chat ends.
    pub turns: u32,
    /// Bytes that a caller adds in a turn.
    pub turn_bytes: u32,
    /// Tokens of an answer.
    pub answer_tokens: u32,
    /// Of 1000 requests, so many go to plain services.
    pub plain_permille: u32,
    /// Of 1000 calls to plain services, so many resend an earlier key.
    pub resend_permille: u32,
}

/// One turn of a chat.
#[derive(Clone, Debug)]
pub struct ChatTurn {
    /// The team, by its place in the settings.
    pub team: usize,
    /// The chat's id.
    pub chat: String,
    /// Which turn this is, from 1.
    pub turn: u32,
    /// The whole conversation, as it is sent.
    pub request: ChatRequest,
}

/// A call that may not be repeated.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KeyedCall {
    /// The team, by its place in the settings.
    pub team: usize,
    /// Its key.
    pub key: String,
}

/// What comes next.
#[derive(Clone, Debug)]
pub enum Step {
    /// A turn of a chat; [`Workload::answered`] or [`Workload::refused`] gives the chat back.
    Chat(ChatTurn),
    /// A call that may not be repeated.
    Keyed(KeyedCall),
}

/// A seeded stream of requests.
#[derive(Debug)]
pub struct Workload {
    shape: Shape,
    rng: ChaCha8Rng,
    teams: Vec<TeamChats>,
    next: u64,
    keys: Vec<KeyedCall>,
}

/// The chats of one team.
#[derive(Debug, Default)]
struct TeamChats {
    /// Chats between two turns, the longest waiting first.
    idle: VecDeque<ChatTurn>,
    /// All chats, in a turn or not.
    count: u32,
}

impl Workload {
    /// Returns the workload of a seed.
    pub fn new(shape: Shape, seed: u64) -> Workload {
        let teams = shape.shares.iter().map(|_| TeamChats::default()).collect();
        Workload { shape, rng: ChaCha8Rng::seed_from_u64(seed), teams, next: 0, keys: Vec::new() }
    }

    /// Returns a request of a team drawn by its share.
    pub fn draw(&mut self) -> Step {
        let total: u32 = self.shape.shares.iter().sum();
        let mut drawn = self.rng.random_range(0..total.max(1));
        let mut team = 0;
        while drawn >= self.shape.shares[team] {
            drawn -= self.shape.shares[team];
            team += 1;
        }
        self.draw_of(team)
    }

    /// Returns a request of a team.
    pub fn draw_of(&mut self, team: usize) -> Step {
        if self.rng.random_range(0..1_000) < self.shape.plain_permille {
            Step::Keyed(self.keyed(team))
        } else {
            Step::Chat(self.turn(team))
        }
    }

    /// Gives a chat back after a whole answer.
    pub fn answered(&mut self, mut turn: ChatTurn, text: String) {
        turn.request.messages.push(Message { role: "assistant".to_owned(), content: text });
        self.give_back(turn);
    }

    /// Gives a chat back as it was before the turn.
    pub fn refused(&mut self, mut turn: ChatTurn) {
        turn.request.messages.pop();
        turn.turn -= 1;
        self.give_back(turn);
    }

    fn give_back(&mut self, turn: ChatTurn) {
        let chats = &mut self.teams[turn.team];
        if turn.turn >= self.shape.turns {
            chats.count -= 1;
        } else {
            chats.idle.push_back(turn);
        }
    }

    fn keyed(&mut self, team: usize) -> KeyedCall {
        let own = self.keys.iter().rev().find(|it| it.team == team).cloned();
        let resent = self.rng.random_range(0..1_000) < self.shape.resend_permille;
        if let (true, Some(call)) = (resent, own) {
            return call;
        }
        self.next += 1;
        let call = KeyedCall { team, key: format!("key-{}", self.next) };
        self.keys.push(call.clone());
        call
    }

    fn turn(&mut self, team: usize) -> ChatTurn {
        let mut turn = self.chat(team);
        turn.turn += 1;
        let content = self.content(&turn.chat);
        turn.request.messages.push(Message { role: "user".to_owned(), content });
        turn
    }

    /// Returns the chat that waited longest, or a new one while the team has less than its share.
    fn chat(&mut self, team: usize) -> ChatTurn {
        let total: u64 = self.shape.shares.iter().map(|it| u64::from(*it)).sum();
        let share = u64::from(self.shape.shares[team]) * u64::from(self.shape.chats);
        let quota = (share / total.max(1)).max(1);
        let full = u64::from(self.teams[team].count) >= quota;
        if full && let Some(turn) = self.teams[team].idle.pop_front() {
            return turn;
        }
        self.teams[team].count += 1;
        self.next += 1;
        let request = ChatRequest {
            model: self.shape.model.clone(),
            messages: Vec::new(),
            max_tokens: Some(self.shape.answer_tokens),
            stream: true,
        };
        ChatTurn { team, chat: format!("chat-{}", self.next), turn: 0, request }
    }

    /// Returns what a caller adds; no two callers write the same.
    fn content(&mut self, chat: &str) -> String {
        let mut content = format!("{chat}:");
        while content.len() < self.shape.turn_bytes as usize {
            content += &format!(" {:08x}", self.rng.random::<u32>());
        }
        content
    }
}
