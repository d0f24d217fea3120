//! Proofs that a daemon knows the shared secret.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::frame::Hello;

/// Side of a link. A proof includes it, so that a peer can't send a daemon's own proof back to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Side that accepted the link.
    Acceptor = 1,
    /// Side that opened the link.
    Connector = 2,
}

/// HMAC-SHA256 over the role, and the version, process and nonce of both sides.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proof(#[serde(with = "serde_bytes")] Vec<u8>);

impl Proof {
    /// Computes the proof of the side that sent `own`.
    pub fn new(secret: &str, role: Role, own: &Hello, peer: &Hello) -> Self {
        let mac = mac(secret, role, own, peer);
        Self(mac.finalize().into_bytes().to_vec())
    }

    /// Checks the proof of the side that sent `own`, in constant time.
    pub fn is_valid(&self, secret: &str, role: Role, own: &Hello, peer: &Hello) -> bool {
        mac(secret, role, own, peer).verify_slice(&self.0).is_ok()
    }
}

fn mac(secret: &str, role: Role, own: &Hello, peer: &Hello) -> Hmac<Sha256> {
    let mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes());
    let mut mac = mac.expect("HMAC takes keys of any length");
    mac.update(&[role as u8]);
    for hello in [own, peer] {
        let process = hello.process.to_string();
        mac.update(&hello.version.to_be_bytes());
        mac.update(&(process.len() as u64).to_be_bytes());
        mac.update(process.as_bytes());
        mac.update(&hello.nonce.to_be_bytes());
    }
    mac
}
