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

/// Maximum number of frames that wait to be written to a link.
pub(crate) const QUEUE_CAPACITY: usize = 4_096;

/// Maximum number of received frames of one request that wait to be handled. Credit limits the
/// chunks among them to about 70.
pub(crate) const STREAM_QUEUE_CAPACITY: usize = 256;

/// Maximum number of a peer's stream numbers that are remembered. Numbers that arrive out of order
/// differ by at most the length of the link's queue.
const MAX_USED_STREAMS: usize = 2 * QUEUE_CAPACITY;

/// Handle to a link. The link ends when its queue is closed.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    sender: mpsc::Sender<Frame>,
    streams: Arc<Streams>,
}

/// Streams of a link: one for each request that uses it.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    next: AtomicU64,
    used: Mutex<UsedStreams>,
    open: Mutex<BTreeMap<Stream, mpsc::Sender<Frame>>>,
}

/// Stream numbers that the peer has used. Threads of the peer may send them out of order.
#[derive(Debug, Default)]
struct UsedStreams {
    /// All numbers below this one count as used.
    floor: Stream,
    recent: BTreeSet<Stream>,
}

impl UsedStreams {
    /// Records a number. Returns false if it was used before.
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

    /// Opens a stream for a request that this side sends.
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
    /// Opens a stream and returns the receiver of its frames.
    pub(crate) fn open(&self, stream: Stream) -> mpsc::Receiver<Frame> {
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE_CAPACITY);
        self.lock(|open| open.insert(stream, sender));
        receiver
    }

    /// Opens a stream for a request of the peer. Returns `None` if its number was used before.
    pub(crate) fn accept(&self, stream: Stream) -> Option<mpsc::Receiver<Frame>> {
        let mut used = self.used.lock().unwrap_or_else(PoisonError::into_inner);
        used.insert(stream).then(|| self.open(stream))
    }

    pub(crate) fn close(&self, stream: Stream) {
        self.lock(|open| open.remove(&stream));
    }

    /// Closes all streams, because the link has ended.
    pub(crate) fn close_all(&self) {
        self.lock(BTreeMap::clear);
    }

    /// Passes a frame to its stream. Returns false if the stream is closed.
    ///
    /// A peer that sends more than it has credit for fills the stream's queue. The stream is closed
    /// then, because a dropped frame would leave a gap in a body.
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
