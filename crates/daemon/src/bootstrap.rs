//! Start without the log service: another daemon gives the shared state.

use std::{collections::BTreeMap, net::SocketAddr};

use futures_util::{SinkExt, StreamExt};
use ntex::time::{Millis, sleep};
use ragwortrill_core::{
    event::{Event, Message},
    ledger::Ledger,
    snapshot,
    time::Span,
};
use ragwortrill_platform::hosts::Client;
use ragwortrill_wire::{Frame, MAX_STATE_PART_BYTES, State, decode, encode};
use tokio_tungstenite::tungstenite::Message as Text;

use crate::{
    link::Link,
    peers::{Error, Peers, Socket, received, within},
    settings::Bootstrap,
    shell::Shell,
};

/// Time in which the log service may answer before another daemon is asked.
const PATIENCE: Millis = Millis(500);

/// Pause between two questions for new records.
const PAUSE: Millis = Millis(250);

/// Time allowed for the platform's host list.
const TIMEOUT: Span = Span::from_secs(1);

impl Peers {
    /// Gets the state from another daemon, and new records after it, until the log answers.
    pub(crate) async fn start_without_log(self, bootstrap: Bootstrap) {
        loop {
            sleep(PATIENCE).await;
            for address in self.addresses(&bootstrap).await {
                if self.shell.has_log() {
                    return;
                }
                if let Err(error) = self.follow(address).await {
                    log::info!(address = address.to_string(); "no state from a peer: {error}");
                }
            }
            if self.shell.has_log() {
                return;
            }
        }
    }

    async fn addresses(&self, bootstrap: &Bootstrap) -> Vec<SocketAddr> {
        let mut addresses = bootstrap.seeds.clone();
        if let Some(list) = bootstrap.hosts {
            match Client::new(list, TIMEOUT).await.list().await {
                Ok(hosts) => addresses.extend(hosts.into_iter().map(|host| host.address)),
                Err(error) => log::info!("host list can't be read: {error}"),
            }
        }
        addresses
    }

    async fn follow(&self, address: SocketAddr) -> Result<(), Error> {
        let (mut socket, hello) = self.dial(address).await?;
        if hello.process == self.shell.process {
            return Ok(());
        }
        send(&mut socket, &Frame::StateRequest).await?;
        let ledger = receive_state(&mut socket).await?;
        log::info!(
            peer = hello.process.to_string(), offset = ledger.offset().0;
            "state received from a peer, since the log service does not answer"
        );
        self.shell.event(Event::Restore(Box::new(ledger)));
        while !self.shell.has_log() {
            let message = Message::Fetch {
                sent: self.shell.clock.now(),
                offset: self.shell.offset(),
            };
            send(&mut socket, &Frame::Control(message)).await?;
            if let Frame::Records(records) = within(receive(&mut socket)).await? {
                self.shell.event(Event::Read(received(records)));
            }
            sleep(PAUSE).await;
        }
        Ok(())
    }
}

async fn receive_state(socket: &mut Socket) -> Result<Ledger, Error> {
    let mut parts = BTreeMap::new();
    loop {
        let Frame::State(state) = within(receive(socket)).await? else {
            continue;
        };
        let State {
            at,
            hash,
            parts: count,
            ..
        } = state;
        parts.insert(state.part, state.bytes);
        if (0..count).all(|part| parts.contains_key(&part)) {
            let bytes: Vec<u8> = parts.into_values().flatten().collect();
            let ledger = snapshot::decode(at, &bytes)?;
            return match ledger.hash() == hash {
                true => Ok(ledger),
                false => Err(Error::Hash),
            };
        }
    }
}

async fn send(socket: &mut Socket, frame: &Frame) -> Result<(), Error> {
    socket.send(Text::binary(encode(frame)?)).await?;
    Ok(())
}

async fn receive(socket: &mut Socket) -> Result<Frame, Error> {
    while let Some(message) = socket.next().await {
        if let Text::Binary(bytes) = message? {
            return Ok(decode(&bytes)?);
        }
    }
    Err(Error::NoHello)
}

/// Sends the shared state to a peer that asked for it.
pub(crate) async fn answer(shell: Shell, link: Link) {
    let state = shell
        .inspect(|node| {
            let ledger = node.ledger();
            let bytes = snapshot::encode(ledger);
            bytes.map(|bytes| (ledger.offset(), ledger.hash(), bytes))
        })
        .await;
    let (at, hash, bytes) = match state {
        Some(Ok(state)) => state,
        Some(Err(error)) => return log::error!("state can't be sent: {error}"),
        None => return,
    };
    let chunks = bytes.chunks(MAX_STATE_PART_BYTES);
    let parts = chunks.len() as u32;
    for (part, bytes) in chunks.enumerate() {
        let state = State {
            at,
            hash,
            part: part as u32,
            parts,
            bytes: bytes.to_vec(),
        };
        if !link.send(Frame::State(state)).await {
            return;
        }
    }
}
