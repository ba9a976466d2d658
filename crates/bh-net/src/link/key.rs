//! Message authentication of the link: HMAC-SHA-256 over a counter and the frame.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Bytes of the code in front of each frame: half of the HMAC, 128 bits.
pub const MAC_BYTES: usize = 16;

/// A key for one direction of one connection, or the key shared by all entries.
#[derive(Clone)]
pub struct LinkKey {
    bytes: Vec<u8>,
}

impl LinkKey {
    /// The key with these bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self {
            bytes: bytes.into(),
        }
    }

    /// A key that only the holders of this key and of both random numbers of the connection can know.
    ///
    /// Each connection and direction has its own, so a recorded frame is valid nowhere else.
    pub fn derive(&self, dialer_nonce: &[u8], acceptor_nonce: &[u8], label: &[u8]) -> LinkKey {
        LinkKey::new(self.hmac(&[label, dialer_nonce, acceptor_nonce]))
    }

    /// The code of the frame with number `sequence`.
    pub fn mac(&self, sequence: u64, content: &[u8]) -> [u8; MAC_BYTES] {
        let full = self.hmac(&[&sequence.to_le_bytes(), content]);
        let mut code = [0; MAC_BYTES];
        code.copy_from_slice(&full[..MAC_BYTES]);
        code
    }

    /// Whether `code` belongs to the frame with number `sequence`.
    pub fn verify(&self, sequence: u64, content: &[u8], code: &[u8]) -> bool {
        self.mac(sequence, content).ct_eq(code).into()
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
