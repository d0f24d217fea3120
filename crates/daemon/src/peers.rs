//! Links to and from the other daemons.

use std::{net::SocketAddr, sync::PoisonError};

use futures_util::{SinkExt, StreamExt};
use ragwortrill_core::{
    event::{Endpoint, Event, Message, Read},
    name,
    process::Process,
};
use ragwortrill_wire::{Frame, Hello, MAX_FRAME_BYTES, Records, Reject, decode, encode};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{Message as WsMessage, protocol::WebSocketConfig},
};

use crate::{
    bootstrap,
    link::{Link, QUEUE_CAPACITY},
    progress,
    recent::Recent,
    serve,
    shared::Shared,
};

pub(crate) type Socket = WebSocketStream<TcpStream>;

/// Reason why a link ended or could not be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("the connection failed ({0}); check the peer and the network")]
    Socket(#[from] Box<tokio_tungstenite::tungstenite::Error>),
    #[error("the connection failed ({0}); check the peer and the network")]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Frame(#[from] ragwortrill_wire::Error),
    #[error("the peer sent no introduction; connect daemons of the same system only")]
    NoHello,
    #[error("the peer's proof is wrong; give all daemons of a system the same secret")]
    WrongProof,
    #[error("the peer refused the link ({0:?}); compare the daemons' versions and secrets")]
    Rejected(Reject),
    #[error("the peer's host has another process, {0}; wait until both daemons have read the log")]
    WrongProcess(Process),
    #[error("the peer's state can't be used: {0}")]
    State(#[from] ragwortrill_core::snapshot::Error),
    #[error("the peer's state does not have the announced hash; start from another daemon")]
    HashMismatch,
    #[error("the peer did not answer within {0} ms; check the network")]
    Timeout(u64),
}

impl From<tokio_tungstenite::tungstenite::Error> for Error {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Socket(Box::new(error))
    }
}

/// Time limit for opening a link and for a reply over it, in milliseconds.
const OPEN_TIMEOUT_MS: u64 = 1_000;

/// Size of a link's buffer in each direction, in bytes. The library's default of 128 KiB makes up
/// most of an idle link's memory.
const BUFFER_BYTES: usize = 16 * 1024;

/// Opens and accepts links to the other daemons.
#[derive(Clone)]
pub(crate) struct Peers {
    pub(crate) shared: Shared,
    pub(crate) data_centre: name::DataCentre,
    pub(crate) recent: Recent,
}

impl Peers {
    /// Sends control messages until their channel is closed. Opens links on demand.
    pub(crate) async fn run(self, mut messages: mpsc::Receiver<(Endpoint, Message)>) {
        while let Some((to, message)) = messages.recv().await {
            let link = self
                .shared
                .link(&to.process)
                .filter(|link| !link.is_closed());
            let link = link.unwrap_or_else(|| self.open(to));
            if !link.try_send(Frame::Control(message)) {
                log::debug!(
                    "a control message is dropped because the link's queue is full or the link has ended"
                );
            }
        }
    }

    /// Opens a link in the background and returns it at once; frames wait in its queue.
    fn open(&self, to: Endpoint) -> Link {
        let (sender, frames) = mpsc::channel(QUEUE_CAPACITY);
        let link = Link::new(sender);
        let mut links = self
            .shared
            .links
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        links.retain(|process, _| process.host != to.process.host);
        links.insert(to.process.clone(), link.clone());
        drop(links);
        let peers = self.clone();
        let opened = link.clone();
        ntex::rt::spawn(async move {
            if let Err(error) = peers.connect(&to, &opened, frames).await {
                log::info!(peer = to.process.to_string(); "link ended: {error}");
            }
            opened.streams().close_all();
        });
        link
    }

    async fn connect(
        &self,
        to: &Endpoint,
        link: &Link,
        frames: mpsc::Receiver<Frame>,
    ) -> Result<(), Error> {
        let (socket, hello) = self.dial(to.address).await?;
        if hello.process != to.process {
            return Err(Error::WrongProcess(hello.process));
        }
        self.run_link(socket, frames, link, &hello.process).await
    }

    /// Connects to an address and performs the handshake.
    pub(crate) async fn dial(&self, address: SocketAddr) -> Result<(Socket, Hello), Error> {
        let open = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let url = format!("ws://{address}/");
            let (mut socket, _) =
                tokio_tungstenite::client_async_with_config(url, stream, Some(socket_config()))
                    .await?;
            let hello = self.handshake_as_connector(&mut socket).await?;
            Ok::<_, Error>((socket, hello))
        };
        with_timeout(open).await
    }

    /// Accepts links until the process ends.
    pub(crate) async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, address)) = listener.accept().await else {
                ntex::time::sleep(ntex::time::Millis(50)).await;
                continue;
            };
            let peers = self.clone();
            ntex::rt::spawn(async move {
                if let Err(error) = peers.accept_link(stream, address).await {
                    log::info!(address = address.to_string(); "incoming link ended: {error}");
                }
            });
        }
    }

    async fn accept_link(&self, stream: TcpStream, _address: SocketAddr) -> Result<(), Error> {
        stream.set_nodelay(true)?;
        let open = async {
            let mut socket =
                tokio_tungstenite::accept_async_with_config(stream, Some(socket_config())).await?;
            let hello = self.handshake_as_acceptor(&mut socket).await?;
            Ok::<_, Error>((socket, hello))
        };
        let (socket, hello) = with_timeout(open).await?;
        let (sender, frames) = mpsc::channel(QUEUE_CAPACITY);
        let link = Link::new(sender);
        let result = self.run_link(socket, frames, &link, &hello.process).await;
        link.streams().close_all();
        result
    }

    /// Writes queued frames and handles received frames until the link ends.
    async fn run_link(
        &self,
        socket: Socket,
        mut frames: mpsc::Receiver<Frame>,
        link: &Link,
        peer: &Process,
    ) -> Result<(), Error> {
        let (mut sink, mut source) = socket.split();
        let write = async {
            while let Some(frame) = frames.recv().await {
                sink.feed(WsMessage::binary(encode(&frame)?)).await?;
                while let Ok(frame) = frames.try_recv() {
                    sink.feed(WsMessage::binary(encode(&frame)?)).await?;
                }
                sink.flush().await?;
            }
            Ok(())
        };
        let read = async {
            while let Some(message) = source.next().await {
                if let WsMessage::Binary(bytes) = message? {
                    self.handle(decode(&bytes), link, peer)?;
                }
            }
            Ok(())
        };
        tokio::select! {
            result = write => result,
            result = read => result,
        }
    }

    fn handle(
        &self,
        frame: Result<Frame, ragwortrill_wire::Error>,
        link: &Link,
        peer: &Process,
    ) -> Result<(), Error> {
        let frame = frame.inspect_err(|_| self.shared.metrics.bad_frame("malformed"))?;
        match frame {
            Frame::Control(Message::Fetch { sent, offset }) => {
                let page = self.recent.after(offset, self.shared.clock.now());
                link.try_send(Frame::Records(Records {
                    sent,
                    age: page.age,
                    end: page.end,
                    rows: page.rows,
                }));
            }
            Frame::Control(message) => self.shared.send_event(Event::Received {
                from: peer.clone(),
                message,
            }),
            Frame::Records(records) => self.shared.send_event(Event::Read(into_read(records))),
            Frame::StateRequest => {
                ntex::rt::spawn(bootstrap::send_state(self.shared.clone(), link.clone()));
            }
            Frame::Request(request) => {
                let Some(frames) = link.streams().accept(request.stream) else {
                    self.shared.metrics.bad_frame("replayed");
                    return Ok(());
                };
                let shared = self.shared.clone();
                ntex::rt::spawn(serve::run(shared, link.clone(), *request, frames));
            }
            Frame::Lookup(lookup) => {
                let (shared, link) = (self.shared.clone(), link.clone());
                ntex::rt::spawn(progress::serve(shared, link, lookup));
            }
            Frame::Hello(_) | Frame::Proof(_) | Frame::Reject(_) => {
                self.shared.metrics.bad_frame("unexpected")
            }
            frame => self.deliver(frame, link),
        }
        Ok(())
    }

    fn deliver(&self, frame: Frame, link: &Link) {
        let stream = match &frame {
            Frame::Accept(stream)
            | Frame::Chunk { stream, .. }
            | Frame::Credit { stream, .. }
            | Frame::Abort { stream, .. } => *stream,
            Frame::Response(response) => response.stream,
            Frame::Refusal(refusal) => refusal.stream,
            _ => return,
        };
        // A late frame for a request that has ended is dropped.
        link.streams().deliver(stream, frame);
    }
}

/// Converts a peer's records into a read whose proof is as old as the peer's. If the peer has no
/// proof, the read counts as sent at time 0.
pub(crate) fn into_read(records: Records) -> Read {
    let age = records
        .age
        .unwrap_or(ragwortrill_core::time::Span(records.sent.0));
    Read {
        sent: records.sent - age,
        end: records.end,
        rows: records.rows,
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

pub(crate) async fn with_timeout<T>(
    open: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let limit = std::time::Duration::from_millis(OPEN_TIMEOUT_MS);
    match tokio::time::timeout(limit, open).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout(OPEN_TIMEOUT_MS)),
    }
}
