//! Loopback addresses: a range of its own for each test, and an address of its own for each machine in it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Held open by the owner of a range, so that no other test takes it.
const CLAIM_PORT: u16 = 21600;
/// Where machines of the fleet talk among themselves: the first of the ports.
pub const INTERNAL_FIRST: u16 = 21680;
/// The last of those ports.
pub const INTERNAL_LAST: u16 = 21695;
/// The operator's interface.
pub const CONTROL_PORT: u16 = 21665;
/// The clients' address.
pub const FRONT_PORT: u16 = 21662;
/// The platform's readiness checks.
pub const READINESS_PORT: u16 = 21663;
/// The platform's list.
const LIST_PORT: u16 = 21667;
/// Model servers.
const SERVER_PORT: u16 = 21080;

const CORE_FIRST: u8 = 10;
const FRONT_FIRST: u8 = 60;
const SERVER_FIRST: u8 = 110;
const LIST_HOST: u8 = 250;
const CLAIM_HOST: u8 = 1;
const TRIES: usize = 200;

/// A range of 256 loopback addresses that belongs to one test.
#[derive(Debug)]
pub struct Network {
    second: u8,
    third: u8,
    _claim: TcpListener,
}

impl Network {
    /// Takes a range that nobody has.
    pub fn claim() -> Network {
        for _ in 0..TRIES {
            let (second, third) = (fastrand::u8(16..250), fastrand::u8(..));
            let host = Ipv4Addr::new(127, second, third, CLAIM_HOST);
            if let Ok(claim) = TcpListener::bind((host, CLAIM_PORT)) {
                return Network { second, third, _claim: claim };
            }
        }
        panic!("no free range of loopback addresses in {TRIES} tries");
    }

    fn host(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, last))
    }

    /// The address of a core machine.
    pub fn core(&self, number: u8) -> IpAddr {
        self.host(CORE_FIRST + number)
    }

    /// The address of a front machine.
    pub fn front(&self, number: u8) -> IpAddr {
        self.host(FRONT_FIRST + number)
    }

    /// Where a model server listens.
    pub fn server(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.host(SERVER_FIRST + number), SERVER_PORT)
    }

    /// Where the platform's list listens.
    pub fn list(&self) -> SocketAddr {
        SocketAddr::new(self.host(LIST_HOST), LIST_PORT)
    }
}
