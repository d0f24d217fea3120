//! One side of a link between two daemons.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use ragwortrill_wire::{Frame, Stream};
use tokio::sync::mpsc;

/// Frames that may wait to be written to a link.
pub(crate) const QUEUE_CAPACITY: usize = 4_096;

/// Frames of one request that may wait. Credit bounds the chunks among them to about 70.
pub(crate) const STREAM_QUEUE_CAPACITY: usize = 256;

/// Numbers of a peer's requests that are remembered. Those that are out of order are at most as far
/// apart as the queue of the link is long.
const MAX_USED_STREAMS: usize = 2 * QUEUE_CAPACITY;

/// Handle to a link. The link ends when its queue is closed.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    sender: mpsc::Sender<Frame>,
    streams: Arc<Streams>,
}

/// Requests that use a link.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    next: AtomicU64,
    used: Mutex<UsedStreams>,
    open: Mutex<BTreeMap<Stream, mpsc::Sender<Frame>>>,
}

/// Numbers of the peer's requests. Threads of the peer may send them out of order.
#[derive(Debug, Default)]
struct UsedStreams {
    /// Numbers below this count as used.
    floor: Stream,
    recent: BTreeSet<Stream>,
}

impl UsedStreams {
    /// Notes a number. Returns false if it was used before.
    fn insert(&mut self, stream: Stream) -> bool {
        if stream < self.floor || !self.recent.insert(stream) {
            return false;
        }
        if self.recent.len() > MAX_USED_STREAMS
            && let Some(first) = self.recent.pop_first()
        {
            self.floor = Stream(first.0.saturating_add(1));
        }
        true
    }
}

impl Link {
    pub(crate) fn new(sender: mpsc::Sender<Frame>) -> Self {
        Self {
            sender,
            streams: Arc::default(),
        }
    }

    pub(crate) fn streams(&self) -> &Arc<Streams> {
        &self.streams
    }

    /// Starts a request that this side sends.
    pub(crate) fn open_stream(&self) -> (Stream, mpsc::Receiver<Frame>) {
        let stream = Stream(self.streams.next.fetch_add(1, Ordering::Relaxed));
        (stream, self.streams.open(stream))
    }

    /// Queues a frame. Returns false if the link has ended.
    pub(crate) async fn send(&self, frame: Frame) -> bool {
        self.sender.send(frame).await.is_ok()
    }

    /// Queues a frame unless the link has ended or its queue is full.
    pub(crate) fn try_send(&self, frame: Frame) -> bool {
        self.sender.try_send(frame).is_ok()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Streams {
    /// Registers a request and returns its frames.
    pub(crate) fn open(&self, stream: Stream) -> mpsc::Receiver<Frame> {
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE_CAPACITY);
        self.lock(|open| open.insert(stream, sender));
        receiver
    }

    /// Registers a request of the peer. Returns `None` if its number was used before.
    pub(crate) fn accept(&self, stream: Stream) -> Option<mpsc::Receiver<Frame>> {
        let mut used = self.used.lock().unwrap_or_else(PoisonError::into_inner);
        used.insert(stream).then(|| self.open(stream))
    }

    pub(crate) fn close(&self, stream: Stream) {
        self.lock(|open| open.remove(&stream));
    }

    /// Ends all requests, because the link has ended.
    pub(crate) fn close_all(&self) {
        self.lock(BTreeMap::clear);
    }

    /// Passes a frame to its request. Returns false if the request is not open.
    ///
    /// A peer that sends more than it has credit for ends its request: a dropped frame would leave
    /// a gap in a body.
    pub(crate) fn deliver(&self, stream: Stream, frame: Frame) -> bool {
        let sender = self.lock(|open| open.get(&stream).cloned());
        let delivered = sender.is_some_and(|sender| sender.try_send(frame).is_ok());
        if !delivered {
            self.close(stream);
        }
        delivered
    }

    fn lock<T>(&self, f: impl FnOnce(&mut BTreeMap<Stream, mpsc::Sender<Frame>>) -> T) -> T {
        f(&mut self.open.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
