//! Message authentication of the link: HMAC-SHA-256 over the sequence number and the frame.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of the message authentication code (MAC) in front of each frame: half of the HMAC, 128 bits.
pub const MAC_BYTES: usize = 16;

/// The key for one direction of one connection, or the key that all entries share.
#[derive(Clone)]
pub struct LinkKey {
    bytes: Vec<u8>,
}

impl LinkKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self {
            bytes: bytes.into(),
        }
    }

    /// Derives a key from this key and the two random numbers of a connection; nobody can compute it without all three.
    ///
    /// Each connection and direction has its own key, so a recorded frame is valid nowhere else.
    pub fn derive(&self, dialer_nonce: &[u8], acceptor_nonce: &[u8], label: &[u8]) -> LinkKey {
        LinkKey::new(self.hmac(&[label, dialer_nonce, acceptor_nonce]))
    }

    /// MAC of the frame with number `sequence`.
    pub fn mac(&self, sequence: u64, content: &[u8]) -> [u8; MAC_BYTES] {
        let full = self.hmac(&[&sequence.to_le_bytes(), content]);
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&full[..MAC_BYTES]);
        mac
    }

    /// Whether `mac` is the MAC of the frame with number `sequence`.
    pub fn verify(&self, sequence: u64, content: &[u8], mac: &[u8]) -> bool {
        self.mac(sequence, content).ct_eq(mac).into()
    }

    fn hmac(&self, parts: &[&[u8]]) -> Vec<u8> {
        let Ok(mut hmac) = Hmac::<Sha256>::new_from_slice(&self.bytes) else {
            unreachable!("HMAC takes a key of any length")
        };
        for part in parts {
            let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
            hmac.update(&length.to_le_bytes());
            hmac.update(part);
        }
        hmac.finalize().into_bytes().to_vec()
    }
}
