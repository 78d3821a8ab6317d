//! Parsers for files under `/proc`, the linear fit, and the report table.

use std::time::Duration;

use celerytide_capacity::{
    linear_fit::{Line, Point},
    proc::{Memory, parse_loopback_sent, parse_memory, parse_processor_time},
    report::{Report, Row, parse_sizes},
};

#[test]
fn processor_time_is_the_sum_of_user_and_system_time() {
    struct Case {
        name: &'static str,
        input: &'static str,
        want: Option<Duration>,
    }
    let cases = [
        Case {
            name: "plain",
            input: "7 (entry) S 1 7 7 0 -1 4194560 100 0 0 0 150 50 9 9 20 0 1 0 5 6",
            want: Some(Duration::from_secs(2)),
        },
        Case {
            name: "a name with a parenthesis and a space",
            input: "7 (a) b) S 1 7 7 0 -1 4194560 100 0 0 0 1 2 9 9 20 0 1 0 5 6",
            want: Some(Duration::from_millis(30)),
        },
        Case {
            name: "too few fields",
            input: "7 (entry) S 1 7 7 0 -1 4194560 100 0 0 0 150",
            want: None,
        },
        Case {
            name: "empty",
            input: "",
            want: None,
        },
        Case {
            name: "field is not a number",
            input: "7 (entry) S 1 7 7 0 -1 4194560 100 0 0 0 x 50",
            want: None,
        },
    ];
    for case in cases {
        assert_eq!(parse_processor_time(case.input), case.want, "{}", case.name);
    }
}

#[test]
fn memory_has_a_resident_and_a_private_part() {
    struct Case {
        name: &'static str,
        input: &'static str,
        want: Option<Memory>,
    }
    let cases = [
        Case {
            name: "all fields",
            input: "5-6 ---p 0 0:0 0 [rollup]\nRss:  10 kB\nPss: 9 kB\nPrivate_Clean: 1 kB\nPrivate_Dirty:  4 kB\n",
            want: Some(Memory {
                resident: 10 * 1024,
                private: 5 * 1024,
            }),
        },
        Case {
            name: "without private",
            input: "Rss: 10 kB\n",
            want: None,
        },
        Case {
            name: "empty",
            input: "",
            want: None,
        },
    ];
    for case in cases {
        assert_eq!(parse_memory(case.input), case.want, "{}", case.name);
    }
}

#[test]
fn loopback_counts_sent_bytes_only() {
    let head = "Inter-| Receive | Transmit\n face |bytes packets|bytes packets\n";
    let lo = format!("{head}  eth0: 1 2 3 4 5 6 7 8 9 10\n    lo: 11 2 3 4 5 6 7 8 99 10 0 0 0 0 0 0\n");
    assert_eq!(parse_loopback_sent(&lo), Some(99));
    assert_eq!(parse_loopback_sent(head), None);
    assert_eq!(parse_loopback_sent("lo: 1 2"), None);
}

#[test]
fn fitted_line_minimizes_the_squares() {
    struct Case {
        name: &'static str,
        input: &'static [(f64, f64)],
        want: Option<[f64; 3]>,
    }
    let cases = [
        Case {
            name: "exact",
            input: &[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)],
            want: Some([2.0, 3.0, 1.0]),
        },
        Case {
            name: "flat",
            input: &[(1.0, 4.0), (9.0, 4.0)],
            want: Some([0.0, 4.0, 1.0]),
        },
        Case {
            name: "scattered",
            input: &[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)],
            want: Some([0.8, 0.3, 0.64]),
        },
        Case {
            name: "one size only",
            input: &[(2.0, 1.0), (2.0, 3.0)],
            want: None,
        },
        Case {
            name: "one point",
            input: &[(2.0, 1.0)],
            want: None,
        },
        Case {
            name: "none",
            input: &[],
            want: None,
        },
    ];
    for case in cases {
        let points: Vec<Point> = case.input.iter().map(|&(size, value)| Point { size, value }).collect();
        let got = Line::fit(&points).map(|line| [line.slope, line.at_zero, line.explained]);
        let is_close = match (got, case.want) {
            (Some(got), Some(want)) => got.iter().zip(want).all(|(got, want)| (got - want).abs() < 1e-9),
            (got, want) => got.is_none() && want.is_none(),
        };
        assert!(is_close, "{}: {got:?}, wanted {:?}", case.name, case.want);
    }
}

#[test]
fn sizes_that_are_no_whole_numbers_are_rejected() {
    assert_eq!(parse_sizes("2, 4,8").ok(), Some(vec![2, 4, 8]));
    for wrong in ["", "2,", "2;4", "-1", "x"] {
        assert!(parse_sizes(wrong).is_err(), "{wrong:?}");
    }
}

#[test]
fn fitted_line_ignores_sizes_without_a_value() {
    let rows = [(1, 10.0), (2, 20.0), (3, f64::NAN)];
    let rows = rows.map(|(size, value)| Row::new(size).with("ms", value));
    let report = Report::new("Title", "things", rows.to_vec());
    assert_eq!(report.lines.len(), 1);
    assert!((report.lines[0].line.at(5.0) - 50.0).abs() < 1e-9);
    let table = report.markdown();
    assert!(table.contains("| things | ms | load average |"), "{table}");
    assert!(table.contains("| 3 | NaN |"), "{table}");
    assert!(table.contains("| for each one more | 10.00 |"), "{table}");
}
