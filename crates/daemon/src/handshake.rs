//! Handshake of a link: each side introduces itself and proves that it knows the shared secret.
//!
//! The connector sends its proof first, so that an acceptor sends no proof to a peer without the
//! secret.

use futures_util::{SinkExt, StreamExt};
use ragwortrill_core::process::Process;
use ragwortrill_wire::{Frame, Hello, Proof, Reject, Role, VERSION, decode, encode};
use tokio_tungstenite::tungstenite::Message;

use crate::peers::{Error, Peers, Socket};

impl Peers {
    /// Performs the handshake of a link that this side opened, and returns the peer's introduction.
    pub(crate) async fn handshake_as_connector(&self, socket: &mut Socket) -> Result<Hello, Error> {
        let own = self.own_hello();
        send(socket, Frame::Hello(own.clone())).await?;
        let peer = self.receive_hello(socket).await?;
        let proof = Proof::new(&self.shared.secret, Role::Connector, &own, &peer);
        send(socket, Frame::Proof(proof)).await?;
        self.check_proof(socket, Role::Acceptor, &peer, &own)
            .await?;
        Ok(peer)
    }

    /// Performs the handshake of a link that the peer opened, and returns the peer's introduction.
    pub(crate) async fn handshake_as_acceptor(&self, socket: &mut Socket) -> Result<Hello, Error> {
        let peer = self.receive_hello(socket).await?;
        let own = self.own_hello();
        send(socket, Frame::Hello(own.clone())).await?;
        self.check_proof(socket, Role::Connector, &peer, &own)
            .await?;
        if let Some(current) = self.replacement(&peer).await {
            let error = Error::WrongProcess(current);
            return Err(self.reject(socket, Reject::Process, error).await);
        }
        let proof = Proof::new(&self.shared.secret, Role::Acceptor, &own, &peer);
        send(socket, Frame::Proof(proof)).await?;
        Ok(peer)
    }

    /// Returns the process that the log has for the peer's host, if it is not the peer.
    async fn replacement(&self, peer: &Hello) -> Option<Process> {
        let process = peer.process.clone();
        let replacement = self.shared.inspect(move |node| {
            let current = node.ledger().processes().get(&process.host)?;
            (current.process != process).then(|| current.process.clone())
        });
        replacement.await.flatten()
    }

    fn own_hello(&self) -> Hello {
        Hello {
            version: VERSION,
            process: self.shared.process.clone(),
            data_centre: self.data_centre.clone(),
            offset: self.shared.offset(),
            hash: 0,
            nonce: rand::random(),
        }
    }

    async fn check_proof(
        &self,
        socket: &mut Socket,
        role: Role,
        peer: &Hello,
        own: &Hello,
    ) -> Result<(), Error> {
        match self.receive(socket).await? {
            Frame::Proof(proof) if proof.is_valid(&self.shared.secret, role, peer, own) => Ok(()),
            Frame::Reject(reject) => Err(Error::Rejected(reject)),
            _ => Err(self.reject(socket, Reject::Proof, Error::WrongProof).await),
        }
    }

    async fn receive_hello(&self, socket: &mut Socket) -> Result<Hello, Error> {
        match self.receive(socket).await? {
            Frame::Hello(hello) => Ok(hello),
            Frame::Reject(reject) => Err(Error::Rejected(reject)),
            _ => Err(Error::NoHello),
        }
    }

    async fn receive(&self, socket: &mut Socket) -> Result<Frame, Error> {
        while let Some(message) = socket.next().await {
            let Message::Binary(bytes) = message? else {
                continue;
            };
            return match decode(&bytes) {
                Ok(frame) => Ok(frame),
                Err(error @ ragwortrill_wire::Error::Version(_)) => {
                    Err(self.reject(socket, Reject::Version, error.into()).await)
                }
                Err(error) => {
                    self.shared.metrics.bad_frame("malformed");
                    Err(error.into())
                }
            };
        }
        Err(Error::NoHello)
    }

    /// Sends the peer the reason for refusing the link, and counts the refusal.
    async fn reject(&self, socket: &mut Socket, reject: Reject, error: Error) -> Error {
        self.shared.metrics.bad_frame(match reject {
            Reject::Proof => "proof",
            Reject::Process => "process",
            Reject::Version => "version",
        });
        if let Err(failure) = send(socket, Frame::Reject(reject)).await {
            log::debug!("the refusal of a link could not be sent: {failure}");
        }
        error
    }
}

async fn send(socket: &mut Socket, frame: Frame) -> Result<(), Error> {
    socket.send(Message::binary(encode(&frame)?)).await?;
    Ok(())
}
