//! Bodies of requests, which are counted before they are held.

use {
    crate::{
        body::{ReadError, discard},
        slots::RequestSlot,
        throttle::LogThrottle,
    },
    bytes::{Buf, Bytes, BytesMut},
    derive_more::Debug,
    http::{header, request},
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    intake::{Growth, SharedUploads, UploadId, Uploads},
    model::Time,
    opentelemetry::{KeyValue, metrics::Counter},
    smallvec::SmallVec,
    std::{
        convert::Infallible,
        pin::Pin,
        sync::{Arc, OnceLock},
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, sleep_until, timeout_at},
    },
};

/// The size of the largest block of a body, in bytes.
const MAX_BLOCK_BYTES: usize = 64 << 10;

/// The size of the smallest block of a body of unknown length, in bytes.
const MIN_BLOCK_BYTES: usize = 1 << 10;

/// What is counted for a block beside its bytes.
const BLOCK_OVERHEAD_BYTES: usize = 64;

/// How much of a refused body is read, in bytes, and for how long.
const MAX_DISCARDED_BYTES: usize = 32 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a body waits for memory of others that give way to it.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(200);

/// The memory that the bodies of all requests take together, and the connections that are charged to it.
#[derive(Debug)]
pub struct UploadMemory {
    #[debug(skip)]
    uploads: SharedUploads,
    started: Instant,
    /// Notified when a body has to give way.
    evicted: Notify,
    /// Notified when memory is returned.
    freed: Notify,
    throttle: LogThrottle,
    #[debug(skip)]
    refused: OnceLock<Counter<u64>>,
}

impl UploadMemory {
    /// Returns memory of `limit` bytes.
    pub fn new(limit: usize) -> Arc<UploadMemory> {
        Arc::new(UploadMemory {
            uploads: Uploads::shared(limit),
            started: Instant::now(),
            evicted: Notify::new(),
            freed: Notify::new(),
            throttle: LogThrottle::default(),
            refused: OnceLock::new(),
        })
    }

    /// Returns the memory itself, for what other listeners of the process receive.
    pub fn uploads(&self) -> SharedUploads {
        self.uploads.clone()
    }

    /// Reserves memory for copies of a body. Returns `None` if there is too little.
    pub fn reserve(self: &Arc<UploadMemory>, bytes: usize) -> Option<HeldMemory> {
        if !self.uploads.lock().extend(0, bytes) {
            self.record_refused("full");
            return None;
        }
        Some(HeldMemory { memory: self.clone(), held: bytes })
    }

    /// Counts memory that is held in any case, such as that of a connection.
    pub fn charge(self: &Arc<UploadMemory>, bytes: usize) -> HeldMemory {
        self.uploads.lock().charge(bytes);
        HeldMemory { memory: self.clone(), held: bytes }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.uploads.lock().used()
    }

    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.uploads.lock().release(bytes);
            self.freed.notify_waiters();
        }
    }

    /// Records that a body was refused, or that it gave way to another one.
    fn record_refused(&self, reason: &'static str) {
        let build = || telemetry::meter("edge").u64_counter("edge_refused_bodies").build();
        self.refused.get_or_init(build).add(1, &[KeyValue::new("reason", reason)]);
        if let Some(count) = self.throttle.admit() {
            tracing::warn!(
                event = "no-memory",
                reason,
                count,
                used_bytes = self.used(),
                "edge: too little memory for the bodies of requests"
            );
        }
    }

    /// Receives a complete body of at most `limit` bytes. Each frame must arrive within `frame_timeout` of the previous
    /// one. `slot` learns that the request was received.
    ///
    /// # Errors
    ///
    /// [`ReadError`].
    pub async fn receive<B>(
        self: &Arc<UploadMemory>,
        mut body: B,
        slot: Option<&RequestSlot>,
        limit: usize,
        frame_timeout: Duration,
    ) -> Result<Payload, ReadError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        let payload = if body.is_end_stream() {
            Payload::default()
        } else {
            self.receive_frames(&mut body, limit, frame_timeout).await?
        };
        slot.into_iter().for_each(RequestSlot::received);
        Ok(payload)
    }

    /// Like [`UploadMemory::receive`], for a request with these `parts`. The rest of a body that is refused is read and dropped
    /// for a while, as a connection that is closed with unread bytes is reset, which may discard the response.
    ///
    /// # Errors
    ///
    /// [`ReadError`].
    pub async fn receive_request<B>(
        self: &Arc<UploadMemory>,
        parts: &request::Parts,
        mut body: B,
        limit: usize,
        frame_timeout: Duration,
    ) -> Result<Payload, ReadError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        let slot = parts.extensions.get::<RequestSlot>();
        let received = self.receive(&mut body, slot, limit, frame_timeout).await;
        let is_refused = matches!(received, Err(ReadError::TooLarge | ReadError::NoMemory));
        // A client that waits to be asked for the body sends none.
        if is_refused && !parts.headers.contains_key(header::EXPECT) {
            discard(body, MAX_DISCARDED_BYTES, Instant::now() + DISCARD_TIMEOUT).await;
        }
        received
    }

    async fn receive_frames<B>(
        self: &Arc<UploadMemory>,
        body: &mut B,
        limit: usize,
        frame_timeout: Duration,
    ) -> Result<Payload, ReadError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        if body.size_hint().lower() > limit as u64 {
            return Err(ReadError::TooLarge);
        }
        let mut receiver = Receiver::new(self);
        loop {
            let evicted = self.evicted.notified();
            if self.uploads.lock().is_evicted(receiver.id) {
                self.record_refused("evicted");
                return Err(ReadError::NoMemory);
            }
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = evicted => continue,
                () = sleep_until(Instant::now() + frame_timeout) => return Err(ReadError::Stalled),
            };
            let Some(frame) = frame else { return Ok(receiver.finish()) };
            let frame = frame.map_err(|_| ReadError::Broken)?;
            let Ok(data) = frame.into_data() else { continue };
            if receiver.len + data.len() > limit {
                return Err(ReadError::TooLarge);
            }
            receiver.append(data, body.size_hint().exact()).await?;
        }
    }
}

/// A body that is being received.
struct Receiver {
    memory: Arc<UploadMemory>,
    id: UploadId,
    blocks: SmallVec<[BytesMut; 1]>,
    len: usize,
}

impl Receiver {
    fn new(memory: &Arc<UploadMemory>) -> Receiver {
        let id = memory.uploads.lock().begin(memory.now());
        Receiver { memory: memory.clone(), id, blocks: SmallVec::new(), len: 0 }
    }

    /// Appends a part of the body, of which `left` bytes are to come if that is known.
    async fn append(&mut self, mut data: Bytes, left: Option<u64>) -> Result<(), ReadError> {
        self.memory.uploads.lock().progress(self.memory.now(), self.id);
        while data.has_remaining() {
            let room = self.blocks.last().map_or(0, |it| it.capacity() - it.len());
            if room == 0 {
                self.add_block(data.len(), left).await?;
                continue;
            }
            let part = data.split_to(room.min(data.len()));
            self.blocks.last_mut().into_iter().for_each(|it| it.extend_from_slice(&part));
            self.len += part.len();
        }
        Ok(())
    }

    /// Adds a block for at least a part of `wanted` bytes. Blocks grow with the body, so that what a client announces
    /// takes no memory until it has sent about as much.
    async fn add_block(&mut self, wanted: usize, left: Option<u64>) -> Result<(), ReadError> {
        let rest = left.map_or(usize::MAX, |it| wanted.saturating_add(it as usize));
        let bytes = wanted.max(self.len).max(MIN_BLOCK_BYTES).min(rest).min(MAX_BLOCK_BYTES);
        self.reserve(bytes + BLOCK_OVERHEAD_BYTES).await?;
        self.blocks.push(BytesMut::with_capacity(bytes));
        Ok(())
    }

    async fn reserve(&self, bytes: usize) -> Result<(), ReadError> {
        let memory = &self.memory;
        let deadline = Instant::now() + EVICTION_TIMEOUT;
        loop {
            let freed = memory.freed.notified();
            let growth = memory.uploads.lock().grow(memory.now(), self.id, bytes);
            match growth {
                Growth::Granted => return Ok(()),
                Growth::Evicting => memory.evicted.notify_waiters(),
                Growth::Refused => {
                    memory.record_refused("full");
                    return Err(ReadError::NoMemory);
                }
                Growth::Evicted => {
                    memory.record_refused("evicted");
                    return Err(ReadError::NoMemory);
                }
            }
            if timeout_at(deadline, freed).await.is_err() {
                memory.record_refused("full");
                return Err(ReadError::NoMemory);
            }
        }
    }

    fn finish(mut self) -> Payload {
        let held = self.memory.uploads.lock().end(self.id);
        let blocks = std::mem::take(&mut self.blocks);
        let held = (held > 0).then(|| Arc::new(HeldMemory { memory: self.memory.clone(), held }));
        Payload { blocks: blocks.into_iter().map(BytesMut::freeze).collect(), len: self.len, held }
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.blocks.clear();
        let held = self.memory.uploads.lock().end(self.id);
        self.memory.release(held);
    }
}

/// Memory that a body or a connection takes, which is returned on drop.
#[derive(Debug)]
pub struct HeldMemory {
    #[debug(skip)]
    memory: Arc<UploadMemory>,
    held: usize,
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.release(self.held);
    }
}

/// A body that was received completely. Its memory stays counted until its last clone is dropped.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    #[debug(skip)]
    blocks: SmallVec<[Bytes; 1]>,
    len: usize,
    held: Option<Arc<HeldMemory>>,
}

impl Payload {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the parts of the body in order.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(|it| &**it)
    }

    /// Returns the body as contiguous bytes, whose memory stays counted until they are dropped.
    ///
    /// # Errors
    ///
    /// [`ReadError::NoMemory`] if the body consists of several parts and there is no memory to join them.
    pub fn join(mut self) -> Result<Bytes, ReadError> {
        let Some(held) = self.held.take() else { return Ok(self.concat()) };
        let memory = held.memory.clone();
        if self.blocks.len() <= 1 {
            return Ok(Bytes::from_owner(JoinedBody { bytes: self.concat(), _held: held }));
        }
        if !memory.uploads.lock().extend(held.held, self.len) {
            memory.record_refused("full");
            return Err(ReadError::NoMemory);
        }
        let joined = HeldMemory { memory, held: self.len };
        let bytes = self.concat();
        Ok(Bytes::from_owner(JoinedBody { bytes, _held: Arc::new(joined) }))
    }

    fn concat(mut self) -> Bytes {
        match self.blocks.len() {
            0 => Bytes::new(),
            1 => self.blocks.remove(0),
            _ => {
                let mut bytes = BytesMut::with_capacity(self.len);
                self.parts().for_each(|it| bytes.extend_from_slice(it));
                bytes.freeze()
            }
        }
    }
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Payload {
        let len = bytes.len();
        let blocks = (len > 0).then_some(bytes).into_iter().collect();
        Payload { blocks, len, held: None }
    }
}

impl HttpBody for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.blocks.is_empty() {
            return Poll::Ready(None);
        }
        let block = self.blocks.remove(0);
        self.len -= block.len();
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}

/// Contiguous bytes with the memory that they take.
struct JoinedBody {
    bytes: Bytes,
    _held: Arc<HeldMemory>,
}

impl AsRef<[u8]> for JoinedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
