//! A TCP connection with its read buffer.

use std::{
    io,
    mem::MaybeUninit,
    net::{Shutdown, SocketAddr},
    time::Duration,
};

use bytes::BytesMut;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{SockRef, Socket, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, Interest},
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::message::{self, Response};

/// Time after which a connection with unacknowledged data counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after which a connection with unacknowledged data counts as dead once nobody needs the data.
const UNNEEDED_TIMEOUT: Duration = Duration::from_millis(1);
/// Idle time after which keepalive probes start, and the interval between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Size by which the read buffer grows.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Reason why the head of a response can't be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The connection closed or failed.
    #[error("the connection failed: {0}")]
    Broken(#[from] io::Error),
    /// The bytes are not an HTTP/1.1 response.
    #[error("{0}")]
    Message(#[from] message::Error),
}

/// A connection and the received bytes that are not consumed yet.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    pub(crate) buffer: BytesMut,
}

/// Handle of a connection that is in use. The connection closes once its handle is dropped, too.
#[derive(Debug)]
pub(crate) struct Handle(Socket);

impl Handle {
    /// Makes the kernel give the connection up instead of sending or probing for bytes again that the
    /// peer has not acknowledged. Bytes that were lost once may be sent a second time before that.
    /// Without such bytes the connection goes on.
    pub(crate) fn give_up_unacknowledged(&self) -> io::Result<()> {
        self.0.set_tcp_user_timeout(Some(UNNEEDED_TIMEOUT))
    }
}

impl Connection {
    /// Connects to an address within a time.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        Ok(Self::new(stream))
    }

    /// Wraps a connected stream.
    pub(crate) fn new(stream: TcpStream) -> Self {
        set_options(&stream);
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads bytes into the buffer. Returns false at the end of the stream.
    pub(crate) async fn read(&mut self) -> io::Result<bool> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        Ok(self.stream.read_buf(&mut self.buffer).await? > 0)
    }

    /// Reads the head of a response and skips interim responses before it. All of them together
    /// may have `limit` bytes.
    pub(crate) async fn read_head(
        &mut self,
        limit: usize,
        to_head: bool,
    ) -> Result<Response, Error> {
        let mut left = limit;
        loop {
            let buffered = self.buffer.len();
            match message::take_response(&mut self.buffer, left, to_head)? {
                Some(response) if response.status >= 200 => return Ok(response),
                Some(_) => {
                    let length = buffered - self.buffer.len();
                    left = left
                        .checked_sub(length)
                        .ok_or(message::Error::HeadTooLong)?;
                }
                None if self.read().await? => {}
                None => return Err(Error::Broken(io::ErrorKind::UnexpectedEof.into())),
            }
        }
    }

    /// Writes all bytes. The first ones leave at once if the connection takes them.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        write(&self.stream, bytes).await
    }

    /// Writes all bytes if a condition holds at the moment at which the first ones leave. Returns
    /// whether it held.
    pub(crate) async fn write_if(
        &mut self,
        bytes: &[u8],
        condition: impl Fn() -> bool,
    ) -> io::Result<bool> {
        while condition() {
            match self.stream.try_write(bytes) {
                Ok(length) => return self.write(&bytes[length..]).await.map(|()| true),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?
                }
                Err(error) => return Err(error),
            }
        }
        Ok(false)
    }

    /// Returns whether the peer has sent nothing and has not closed the connection.
    pub(crate) fn is_idle(&self) -> bool {
        let mut byte = [0];
        let pending = self.stream.try_read(&mut byte);
        let is_blocked = pending.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        self.buffer.is_empty() && is_blocked
    }

    /// Returns a handle that can give the connection up while it is in use.
    pub(crate) fn handle(&self) -> io::Result<Handle> {
        SockRef::from(&self.stream).try_clone().map(Handle)
    }

    /// Waits until the peer has closed the connection or its sending side. Does not return if bytes
    /// have arrived that are not read yet.
    pub(crate) async fn closed(&self) {
        let has_changed = || match is_closed(&self.stream) || has_unread_bytes(&self.stream) {
            true => Ok(()),
            // Makes the next event be awaited.
            false => Err(io::ErrorKind::WouldBlock.into()),
        };
        let changed = self.stream.async_io(Interest::READABLE, has_changed).await;
        if changed.is_ok() && !is_closed(&self.stream) {
            std::future::pending().await
        }
    }

    /// Closes the connection with a reset, so that unsent bytes are discarded.
    pub(crate) fn reset(self) {
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::debug!(error = error.to_string(); "connection can't be reset; closing it normally");
        }
    }

    /// Returns the stream, without the bytes in the buffer.
    pub(crate) fn into_stream(self) -> TcpStream {
        self.stream
    }
}

/// Returns whether the peer has closed the connection or its sending side. Asks the kernel, and sees
/// the end behind bytes that are not read yet.
pub(crate) fn is_closed(stream: &TcpStream) -> bool {
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    poll(&mut polled, Some(&Timespec::default())).is_ok() && polled[0].revents().intersects(ends)
}

/// Returns whether a listener has connections to accept. Asks the kernel.
pub(crate) fn is_readable(listener: &TcpListener) -> bool {
    let mut polled = [PollFd::new(listener, PollFlags::IN)];
    poll(&mut polled, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
}

/// Reads bytes into a buffer. Returns false at the end of the stream.
pub(crate) async fn read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<bool> {
    loop {
        stream.readable().await?;
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            outcome => return outcome.map(|length| length > 0),
        }
    }
}

/// Writes all bytes.
pub(crate) async fn write(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Sends the end of the stream to the peer.
pub(crate) fn end(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)
}

/// Returns whether bytes have arrived that are not read yet. Asks the kernel, since the event loop
/// may not have reported them yet.
pub(crate) fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    peeked.is_ok_and(|length| length > 0)
}

fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let outcome = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = outcome {
        log::debug!(error = error.to_string(); "socket options can't be set; dead connections are noticed later");
    }
}
