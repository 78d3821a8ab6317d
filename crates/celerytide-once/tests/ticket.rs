//! Text form of tickets.

use celerytide_once::{IssuerId, Ticket, TicketError};

const NONCE: &str = "0123456789abcdef0123456789abcdef";
const INCARNATION: &str = "00000000000000ff";

#[test]
fn only_well_formed_texts_are_parsed() {
    struct Case {
        name: &'static str,
        input: String,
        want: Result<(), TicketError>,
    }
    let case = |name, input, want| Case { name, input, want };
    let long = "i".repeat(65);
    let cases = [
        case("valid", format!("tk1.i-1.{INCARNATION}.{NONCE}"), Ok(())),
        case("dots in instance", format!("tk1.a.b.c.{INCARNATION}.{NONCE}"), Ok(())),
        case("empty", String::new(), Err(TicketError::Shape)),
        case(
            "other prefix",
            format!("tk2.i-1.{INCARNATION}.{NONCE}"),
            Err(TicketError::Shape),
        ),
        case(
            "prefix without dot",
            format!("tk1i-1.{INCARNATION}.{NONCE}"),
            Err(TicketError::Shape),
        ),
        case(
            "three parts",
            format!("tk1.{INCARNATION}.{NONCE}"),
            Err(TicketError::Shape),
        ),
        case(
            "empty instance",
            format!("tk1..{INCARNATION}.{NONCE}"),
            Err(TicketError::Instance),
        ),
        case(
            "long instance",
            format!("tk1.{long}.{INCARNATION}.{NONCE}"),
            Err(TicketError::Instance),
        ),
        case(
            "space in instance",
            format!("tk1.a b.{INCARNATION}.{NONCE}"),
            Err(TicketError::Instance),
        ),
        case(
            "zero incarnation",
            format!("tk1.i.{:016x}.{NONCE}", 0),
            Err(TicketError::Incarnation),
        ),
        case(
            "short incarnation",
            format!("tk1.i.ff.{NONCE}"),
            Err(TicketError::Incarnation),
        ),
        case(
            "signed incarnation",
            format!("tk1.i.+0000000000000ff.{NONCE}"),
            Err(TicketError::Incarnation),
        ),
        case(
            "upper-case incarnation",
            format!("tk1.i.00000000000000FF.{NONCE}"),
            Err(TicketError::Incarnation),
        ),
        case(
            "short nonce",
            format!("tk1.i.{INCARNATION}.ff"),
            Err(TicketError::Nonce),
        ),
        case(
            "trailing space",
            format!("tk1.i.{INCARNATION}.{NONCE} "),
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
fn generated_tickets_are_parsed_back_and_differ() {
    let issuer = IssuerId {
        instance: "i-1.lima".into(),
        incarnation: u64::MAX,
    };
    let mut rng = rand::rng();
    let first = Ticket::generate(&issuer, &mut rng);
    let second = Ticket::generate(&issuer, &mut rng);
    assert_eq!(Ticket::parse(&first.id()), Ok(first.clone()));
    assert_ne!(first, second);
}
