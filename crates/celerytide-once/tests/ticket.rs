//! The text of tickets.

use celerytide_once::{HomeId, Ticket, TicketError};

const NONCE: &str = "0123456789abcdef0123456789abcdef";
const LIFE: &str = "00000000000000ff";

#[test]
fn texts_are_read_or_refused() {
    struct Case {
        name: &'static str,
        input: String,
        want: Result<(), TicketError>,
    }
    let case = |name, input, want| Case { name, input, want };
    let long = "i".repeat(65);
    let cases = [
        case("plain", format!("tk1.i-1.{LIFE}.{NONCE}"), Ok(())),
        case("dots in instance", format!("tk1.a.b.c.{LIFE}.{NONCE}"), Ok(())),
        case("empty", String::new(), Err(TicketError::Shape)),
        case(
            "other prefix",
            format!("tk2.i-1.{LIFE}.{NONCE}"),
            Err(TicketError::Shape),
        ),
        case(
            "prefix without dot",
            format!("tk1i-1.{LIFE}.{NONCE}"),
            Err(TicketError::Shape),
        ),
        case("three parts", format!("tk1.{LIFE}.{NONCE}"), Err(TicketError::Shape)),
        case(
            "empty instance",
            format!("tk1..{LIFE}.{NONCE}"),
            Err(TicketError::Instance),
        ),
        case(
            "long instance",
            format!("tk1.{long}.{LIFE}.{NONCE}"),
            Err(TicketError::Instance),
        ),
        case(
            "space in instance",
            format!("tk1.a b.{LIFE}.{NONCE}"),
            Err(TicketError::Instance),
        ),
        case(
            "zero life",
            format!("tk1.i.{:016x}.{NONCE}", 0),
            Err(TicketError::Incarnation),
        ),
        case("short life", format!("tk1.i.ff.{NONCE}"), Err(TicketError::Incarnation)),
        case(
            "signed life",
            format!("tk1.i.+0000000000000ff.{NONCE}"),
            Err(TicketError::Incarnation),
        ),
        case(
            "upper-case life",
            format!("tk1.i.00000000000000FF.{NONCE}"),
            Err(TicketError::Incarnation),
        ),
        case("short nonce", format!("tk1.i.{LIFE}.ff"), Err(TicketError::Nonce)),
        case(
            "trailing space",
            format!("tk1.i.{LIFE}.{NONCE} "),
            Err(TicketError::Nonce),
        ),
    ];
    for case in cases {
        let got = Ticket::parse(&case.input);
        assert_eq!(
            got.as_ref().map(|_| ()).map_err(Clone::clone),
            case.want,
            "{}",
            case.name
        );
        if let Ok(ticket) = got {
            assert_eq!(ticket.id(), case.input, "{}: one text per ticket", case.name);
        }
    }
}

#[test]
fn drawn_tickets_are_read_back_and_differ() {
    let home = HomeId {
        instance: "i-1.lima".into(),
        incarnation: u64::MAX,
    };
    let mut rng = rand::rng();
    let first = Ticket::draw(&home, &mut rng);
    let second = Ticket::draw(&home, &mut rng);
    assert_eq!(Ticket::parse(&first.id()), Ok(first.clone()));
    assert_ne!(first, second);
}
