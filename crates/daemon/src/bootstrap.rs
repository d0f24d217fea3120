//! Start without the log service: another daemon sends the shared state.

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
use tokio_tungstenite::tungstenite::Message as WsMessage;

use crate::{
    link::Link,
    peers::{Error, Peers, Socket, into_read, with_timeout},
    settings::Bootstrap,
    shared::Shared,
};

/// Time that the log service has to answer before the state is requested from another daemon.
const LOG_WAIT: Millis = Millis(500);

/// Interval between requests for new records.
const POLL_INTERVAL: Millis = Millis(250);

/// Time limit for reading the platform's host list.
const HOST_LIST_TIMEOUT: Span = Span::from_secs(1);

impl Peers {
    /// Requests the state and later records from another daemon until the log service answers.
    pub(crate) async fn start_without_log(self, bootstrap: Bootstrap) {
        loop {
            sleep(LOG_WAIT).await;
            for address in self.addresses(&bootstrap).await {
                if self.shared.is_log_reached() {
                    return;
                }
                if let Err(error) = self.synchronize(address).await {
                    log::info!(address = address.to_string(); "start from a peer's state failed; the next address is tried: {error}");
                }
            }
            if self.shared.is_log_reached() {
                return;
            }
        }
    }

    async fn addresses(&self, bootstrap: &Bootstrap) -> Vec<SocketAddr> {
        let mut addresses = bootstrap.seeds.clone();
        if let Some(list) = bootstrap.hosts {
            match Client::new(list, HOST_LIST_TIMEOUT).await.list().await {
                Ok(hosts) => addresses.extend(hosts.into_iter().map(|host| host.address)),
                Err(error) => log::info!("host list can't be read: {error}"),
            }
        }
        addresses
    }

    async fn synchronize(&self, address: SocketAddr) -> Result<(), Error> {
        let (mut socket, hello) = self.dial(address).await?;
        if hello.process == self.shared.process {
            return Ok(());
        }
        send(&mut socket, &Frame::StateRequest).await?;
        let ledger = receive_state(&mut socket).await?;
        log::info!(
            peer = hello.process.to_string(), offset = ledger.offset().0;
            "state received from a peer, because the log service does not answer"
        );
        self.shared.send_event(Event::Restore(Box::new(ledger)));
        while !self.shared.is_log_reached() {
            let message = Message::Fetch {
                sent: self.shared.clock.now(),
                offset: self.shared.offset(),
            };
            send(&mut socket, &Frame::Control(message)).await?;
            if let Frame::Records(records) = with_timeout(receive(&mut socket)).await? {
                self.shared.send_event(Event::Read(into_read(records)));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

async fn receive_state(socket: &mut Socket) -> Result<Ledger, Error> {
    let mut parts = BTreeMap::new();
    loop {
        let Frame::State(state) = with_timeout(receive(socket)).await? else {
            continue;
        };
        let State {
            at,
            hash,
            parts: part_count,
            ..
        } = state;
        parts.insert(state.part, state.bytes);
        if (0..part_count).all(|part| parts.contains_key(&part)) {
            let bytes: Vec<u8> = parts.into_values().flatten().collect();
            let ledger = snapshot::decode(at, &bytes)?;
            return match ledger.hash() == hash {
                true => Ok(ledger),
                false => Err(Error::HashMismatch),
            };
        }
    }
}

async fn send(socket: &mut Socket, frame: &Frame) -> Result<(), Error> {
    socket.send(WsMessage::binary(encode(frame)?)).await?;
    Ok(())
}

async fn receive(socket: &mut Socket) -> Result<Frame, Error> {
    while let Some(message) = socket.next().await {
        if let WsMessage::Binary(bytes) = message? {
            return Ok(decode(&bytes)?);
        }
    }
    Err(Error::NoHello)
}

/// Sends the shared state to a peer that requested it.
pub(crate) async fn send_state(shared: Shared, link: Link) {
    let state = shared
        .inspect(|node| {
            let ledger = node.ledger();
            let bytes = snapshot::encode(ledger);
            bytes.map(|bytes| (ledger.offset(), ledger.hash(), bytes))
        })
        .await;
    let (at, hash, bytes) = match state {
        Some(Ok(state)) => state,
        Some(Err(error)) => return log::error!("state can't be encoded for a peer: {error}"),
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
