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
    let long = "i".repeat(65);
    let cases = [
        Case {
            name: "plain",
            input: format!("tk1.i-1.{LIFE}.{NONCE}"),
            want: Ok(()),
        },
        Case {
            name: "dots in instance",
            input: format!("tk1.a.b.c.{LIFE}.{NONCE}"),
            want: Ok(()),
        },
        Case {
            name: "empty",
            input: String::new(),
            want: Err(TicketError::Shape),
        },
        Case {
            name: "other prefix",
            input: format!("tk2.i-1.{LIFE}.{NONCE}"),
            want: Err(TicketError::Shape),
        },
        Case {
            name: "prefix without dot",
            input: format!("tk1i-1.{LIFE}.{NONCE}"),
            want: Err(TicketError::Shape),
        },
        Case {
            name: "three parts",
            input: format!("tk1.{LIFE}.{NONCE}"),
            want: Err(TicketError::Shape),
        },
        Case {
            name: "empty instance",
            input: format!("tk1..{LIFE}.{NONCE}"),
            want: Err(TicketError::Instance),
        },
        Case {
            name: "long instance",
            input: format!("tk1.{long}.{LIFE}.{NONCE}"),
            want: Err(TicketError::Instance),
        },
        Case {
            name: "space in instance",
            input: format!("tk1.a b.{LIFE}.{NONCE}"),
            want: Err(TicketError::Instance),
        },
        Case {
            name: "zero life",
            input: format!("tk1.i.{:016x}.{NONCE}", 0),
            want: Err(TicketError::Incarnation),
        },
        Case {
            name: "short life",
            input: format!("tk1.i.ff.{NONCE}"),
            want: Err(TicketError::Incarnation),
        },
        Case {
            name: "signed life",
            input: format!("tk1.i.+0000000000000ff.{NONCE}"),
            want: Err(TicketError::Incarnation),
        },
        Case {
            name: "upper-case life",
            input: format!("tk1.i.00000000000000FF.{NONCE}"),
            want: Err(TicketError::Incarnation),
        },
        Case {
            name: "short nonce",
            input: format!("tk1.i.{LIFE}.ff"),
            want: Err(TicketError::Nonce),
        },
        Case {
            name: "trailing space",
            input: format!("tk1.i.{LIFE}.{NONCE} "),
            want: Err(TicketError::Nonce),
        },
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
