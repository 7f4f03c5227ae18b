//! Homes of chats, their exceptions, the model of each prompt cache, and the load bound, as state machines without I/O.
