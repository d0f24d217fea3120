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
    tungstenite::{Message as Text, protocol::WebSocketConfig},
};

use crate::{
    bootstrap,
    link::{Link, QUEUE},
    recent::Recent,
    requests, serve,
    shell::Shell,
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
    #[error("the peer did not introduce itself; connect daemons of the same system only")]
    NoHello,
    #[error("the peer's proof is wrong; give all daemons of a system the same secret")]
    Proof,
    #[error("the peer refused the link ({0:?}); compare the daemons' versions and secrets")]
    Rejected(Reject),
    #[error("the peer is {0}, a later process than the one expected; wait for the log")]
    Other(Process),
    #[error("the peer's state can't be used: {0}")]
    State(#[from] ragwortrill_core::snapshot::Error),
    #[error("the peer's state has another hash than announced; ask another daemon")]
    Hash,
    #[error("the peer did not answer within {0} ms; check the network")]
    Silent(u64),
}

impl From<tokio_tungstenite::tungstenite::Error> for Error {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Socket(Box::new(error))
    }
}

/// Time allowed to open a link, in milliseconds.
const OPEN_MS: u64 = 1_000;

/// Buffers of a link in each direction, in bytes. The library's 128 KiB took most of an idle
/// link's memory.
const BUFFER_BYTES: usize = 16 * 1024;

/// What this daemon needs to keep links.
#[derive(Clone)]
pub(crate) struct Peers {
    pub(crate) shell: Shell,
    pub(crate) data_centre: name::DataCentre,
    pub(crate) recent: Recent,
}

impl Peers {
    /// Sends control messages until the ring is closed. Opens links as they are needed.
    pub(crate) async fn run(self, mut messages: mpsc::Receiver<(Endpoint, Message)>) {
        while let Some((to, message)) = messages.recv().await {
            let link = self
                .shell
                .link(&to.process)
                .filter(|link| !link.is_closed());
            let link = link.unwrap_or_else(|| self.open(to));
            if !link.try_send(Frame::Control(message)) {
                log::debug!("a control message is dropped: the link is full or has ended");
            }
        }
    }

    /// Opens a link in the background and returns it at once; frames wait in its queue.
    fn open(&self, to: Endpoint) -> Link {
        let (sender, frames) = mpsc::channel(QUEUE);
        let link = Link::new(sender);
        let mut links = self
            .shell
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
            return Err(Error::Other(hello.process));
        }
        self.exchange(socket, frames, link, &hello.process).await
    }

    /// Connects to an address and exchanges introductions.
    pub(crate) async fn dial(&self, address: SocketAddr) -> Result<(Socket, Hello), Error> {
        let open = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let url = format!("ws://{address}/");
            let (mut socket, _) =
                tokio_tungstenite::client_async_with_config(url, stream, Some(limits())).await?;
            let hello = self.open_as_connector(&mut socket).await?;
            Ok::<_, Error>((socket, hello))
        };
        within(open).await
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
                if let Err(error) = peers.answer(stream, address).await {
                    log::info!(address = address.to_string(); "incoming link ended: {error}");
                }
            });
        }
    }

    async fn answer(&self, stream: TcpStream, _address: SocketAddr) -> Result<(), Error> {
        stream.set_nodelay(true)?;
        let open = async {
            let mut socket =
                tokio_tungstenite::accept_async_with_config(stream, Some(limits())).await?;
            let hello = self.open_as_acceptor(&mut socket).await?;
            Ok::<_, Error>((socket, hello))
        };
        let (socket, hello) = within(open).await?;
        let (sender, frames) = mpsc::channel(QUEUE);
        let link = Link::new(sender);
        let result = self.exchange(socket, frames, &link, &hello.process).await;
        link.streams().close_all();
        result
    }

    /// Writes queued frames and handles received ones until the link ends.
    async fn exchange(
        &self,
        socket: Socket,
        mut frames: mpsc::Receiver<Frame>,
        link: &Link,
        peer: &Process,
    ) -> Result<(), Error> {
        let (mut sink, mut source) = socket.split();
        let write = async {
            while let Some(frame) = frames.recv().await {
                sink.feed(Text::binary(encode(&frame)?)).await?;
                while let Ok(frame) = frames.try_recv() {
                    sink.feed(Text::binary(encode(&frame)?)).await?;
                }
                sink.flush().await?;
            }
            Ok(())
        };
        let read = async {
            while let Some(message) = source.next().await {
                if let Text::Binary(bytes) = message? {
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
        let frame = frame.inspect_err(|_| self.shell.metrics.bad_frame("malformed"))?;
        match frame {
            Frame::Control(Message::Fetch { sent, offset }) => {
                let page = self.recent.after(offset, self.shell.clock.now());
                link.try_send(Frame::Records(Records {
                    sent,
                    age: page.age,
                    end: page.end,
                    rows: page.rows,
                }));
            }
            Frame::Control(message) => self.shell.event(Event::Received {
                from: peer.clone(),
                message,
            }),
            Frame::Records(records) => self.shell.event(Event::Read(received(records))),
            Frame::StateRequest => {
                ntex::rt::spawn(bootstrap::answer(self.shell.clone(), link.clone()));
            }
            Frame::Request(request) => {
                let Some(frames) = link.streams().accept(request.stream) else {
                    self.shell.metrics.bad_frame("replayed");
                    return Ok(());
                };
                let shell = self.shell.clone();
                ntex::rt::spawn(serve::run(shell, link.clone(), *request, frames));
            }
            Frame::Lookup(lookup) => {
                let (shell, link) = (self.shell.clone(), link.clone());
                ntex::rt::spawn(requests::serve(shell, link, lookup));
            }
            Frame::Hello(_) | Frame::Proof(_) | Frame::Reject(_) => {
                self.shell.metrics.bad_frame("unexpected")
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
            Frame::Response(answer) => answer.stream,
            Frame::Refusal(refusal) => refusal.stream,
            _ => return,
        };
        // A late frame of a request that has ended is dropped here.
        link.streams().deliver(stream, frame);
    }
}

/// Turns a peer's records into a read, whose proof is as old as the peer's.
pub(crate) fn received(records: Records) -> Read {
    let age = records
        .age
        .unwrap_or(ragwortrill_core::time::Span(records.sent.0));
    Read {
        sent: records.sent - age,
        end: records.end,
        rows: records.rows,
    }
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

pub(crate) async fn within<T>(open: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let limit = std::time::Duration::from_millis(OPEN_MS);
    match tokio::time::timeout(limit, open).await {
        Ok(result) => result,
        Err(_) => Err(Error::Silent(OPEN_MS)),
    }
}
