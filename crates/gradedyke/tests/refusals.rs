//! Tests of rejected requests: errors are immediate, say what to do, and reveal
//! nothing about other client accounts.

mod support;

use std::net::SocketAddr;

use gradedyke_base::problem::{Kind, Problem};
use gradedyke_client::Options;
use gradedyke_world::{
    Config, Deployment, JORDAN_KEY, KESTREL_KEY, OPERATOR_KEY, chat_body, user_message,
};
use http::{Method, StatusCode, header};
use serde_json::json;
use support::{open_program, rejection_kind, run_test};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request that must be rejected with a problem of the `expected` kind.
struct Case {
    name: &'static str,
    method: Method,
    path: String,
    key: Option<&'static str>,
    program: Option<String>,
    body: String,
    expected: Kind,
}

/// Sends the request of a case and returns the status and body of the response.
async fn send(address: SocketAddr, case: &Case) -> (StatusCode, Vec<u8>) {
    let client = gradedyke_http::Client::new(&gradedyke_http::client::Config::default());
    let body = gradedyke_http::body::full(case.body.clone());
    let method = case.method.clone();
    let mut request =
        gradedyke_http::client::build_request(method, address, &case.path, body).unwrap();
    let headers = request.headers_mut();
    if let Some(key) = case.key {
        let value = format!("Bearer {key}").parse().unwrap();
        headers.insert(header::AUTHORIZATION, value);
    }
    if let Some(program) = &case.program {
        headers.insert("gradedyke-program", program.parse().unwrap());
    }
    let reply = client.send(address, request).await.unwrap();
    let status = reply.status();
    let bytes = gradedyke_http::client::read_body(address, reply.into_body()).await;
    (status, bytes.unwrap().to_vec())
}

/// Returns the cases for callers. `own` is a program of the client account
/// `kestrel`, `foreign` one of `jordan`.
fn caller_cases(own: &str, foreign: &str) -> Vec<Case> {
    let draft = chat_body(&[user_message("Draft.")]).to_string();
    let completions = "/v1/chat/completions";
    let case = |name, method, path: &str, key, program: Option<&str>, body: &str, expected| Case {
        name,
        method,
        path: path.to_owned(),
        key,
        program: program.map(str::to_owned),
        body: body.to_owned(),
        expected,
    };
    let post = |name, path: &str, body: &str, expected| {
        case(
            name,
            Method::POST,
            path,
            Some(KESTREL_KEY),
            None,
            body,
            expected,
        )
    };
    let call = |name, program: &str, body: &str, expected| {
        let program = Some(program);
        case(
            name,
            Method::POST,
            completions,
            Some(KESTREL_KEY),
            program,
            body,
            expected,
        )
    };
    let no_model = json!({ "model": "other", "messages": [user_message("x")] }).to_string();
    let two = json!({ "model": "demo-7b", "messages": [user_message("x")], "n": 2 }).to_string();
    let large = "x".repeat(70_000);
    vec![
        case(
            "no key",
            Method::GET,
            "/v1/models",
            None,
            None,
            "",
            Kind::Unauthorized,
        ),
        case(
            "wrong key",
            Method::GET,
            "/v1/models",
            Some("no"),
            None,
            "",
            Kind::Unauthorized,
        ),
        case(
            "operator's key",
            Method::GET,
            "/v1/models",
            Some(OPERATOR_KEY),
            None,
            "",
            Kind::Unauthorized,
        ),
        post("no such path", "/v1/nothing", "", Kind::NoRoute),
        post("wrong method", "/v1/models", "", Kind::BadMethod),
        post("bad JSON", "/v1/programs", "{\"agent\":", Kind::BadRequest),
        post(
            "unknown field",
            "/v1/programs",
            "{\"agent\":\"minutes\",\"x\":1}",
            Kind::BadRequest,
        ),
        post(
            "foreign agent",
            "/v1/programs",
            "{\"agent\":\"valuation\"}",
            Kind::NotFound,
        ),
        post("too large", "/v1/programs", &large, Kind::TooLarge),
        post("no program", completions, &draft, Kind::BadRequest),
        call("unknown program", "nobody", &draft, Kind::NotFound),
        call("foreign program", foreign, &draft, Kind::NotFound),
        call("malformed program id", "a b", &draft, Kind::BadRequest),
        call("unknown model", own, &no_model, Kind::NotFound),
        call("two choices", own, &two, Kind::BadRequest),
        case(
            "foreign history",
            Method::GET,
            &format!("/v1/programs/{foreign}/history"),
            Some(KESTREL_KEY),
            None,
            "",
            Kind::NotFound,
        ),
        case(
            "foreign end",
            Method::POST,
            &format!("/v1/programs/{foreign}/end"),
            Some(KESTREL_KEY),
            None,
            "",
            Kind::NotFound,
        ),
        case(
            "unknown request",
            Method::GET,
            &format!("/v1/programs/{own}/requests/none"),
            Some(KESTREL_KEY),
            None,
            "",
            Kind::NotFound,
        ),
        case(
            "foreign service",
            Method::POST,
            "/v1/services/orders/place",
            Some(KESTREL_KEY),
            Some(own),
            "{}",
            Kind::NotFound,
        ),
        case(
            "child of a foreign program",
            Method::POST,
            &format!("/v1/programs/{foreign}/children"),
            Some(KESTREL_KEY),
            None,
            "{\"agent\":\"minutes\"}",
            Kind::NotFound,
        ),
    ]
}

#[test]
fn callers_get_typed_refusals() {
    run_test(async {
        let config = Config {
            limits: json!({ "leave_ms": 0, "body_bytes": 65_536 }),
            ..Config::default()
        };
        let deployment = Deployment::start(config).await.unwrap();
        let address = deployment.entry_address(0);
        let (kestrel, jordan) = (deployment.kestrel_caller(), deployment.jordan_caller());
        let own = kestrel.open_program(address, "minutes", None, None, "open");
        let own = own.await.unwrap();
        let foreign = jordan.open_program(address, "valuation", None, None, "open");
        let foreign = foreign.await.unwrap();
        let mut messages = std::collections::BTreeMap::new();
        for case in caller_cases(&own, &foreign) {
            let (status, body) = send(address, &case).await;
            let problem = Problem::parse_body(&body);
            let problem = problem.unwrap_or_else(|| panic!("{}: {body:?}", case.name));
            assert_eq!(problem.kind, case.expected, "{}: {problem}", case.name);
            assert_eq!(status.as_u16(), problem.kind.status(), "{}", case.name);
            assert!(problem.not_run, "{}", case.name);
            messages.insert(case.name, problem.message);
        }
        // The message does not tell whether a foreign program or a key exists.
        assert_eq!(messages["unknown program"], messages["foreign program"]);
        assert_eq!(messages["no key"], messages["wrong key"]);
        insta::assert_json_snapshot!(messages);
        // The rejected requests have changed nothing.
        let body = chat_body(&[user_message("Draft.")]);
        let call = kestrel.chat(address, &own, &body, Options::request("draft"));
        call.await.unwrap();
        let info = deployment
            .jordan_caller()
            .program_action(address, &foreign, "")
            .await
            .unwrap();
        assert_eq!(info["ended"], json!(null));
        deployment.stop().await;
    });
}

#[test]
fn slow_and_half_closed_connections_are_closed() {
    run_test(async {
        let config = Config {
            limits: json!({ "leave_ms": 0, "head_ms": 1_000, "body_ms": 1_000, "connections": 4 }),
            ..Config::default()
        };
        let deployment = Deployment::start(config).await.unwrap();
        let address = deployment.entry_address(0);
        let head = format!(
            "POST /v1/programs HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KESTREL_KEY}\r\n\
             content-length: 100\r\n\r\n"
        );
        // Each case: what the caller sends before it stops sending, whether it
        // closes its side of the connection, and what the response contains.
        let cases = [
            ("", false, ""),
            ("POST /v1/pro", false, ""),
            (&head, false, "408"),
            (&head, true, ""),
        ];
        for (sent, half_closed, expected) in cases {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(sent.as_bytes()).await.unwrap();
            if half_closed {
                stream.shutdown().await.unwrap();
            }
            let mut response = String::new();
            stream.read_to_string(&mut response).await.unwrap();
            assert!(response.contains(expected), "{sent:?}: {response:?}");
        }
        let caller = deployment.jordan_caller();
        let opening = caller.open_program(address, "valuation", None, None, "open");
        opening
            .await
            .expect("the connections should have been freed");
        deployment.stop().await;
    });
}

#[test]
fn a_client_account_at_its_limit_gets_a_retry_delay() {
    run_test(async {
        let mut deployment = Deployment::start(Config::default()).await.unwrap();
        deployment.tree["accounts"]["kestrel"]["concurrent"] = json!(1);
        deployment.apply_settings().await.unwrap();
        let address = deployment.entry_address(0);
        let caller = deployment.kestrel_caller();
        let program = open_program(&caller, address, "minutes").await;
        deployment.engines.iter().for_each(|e| e.stall_at(Some(1)));
        let body = chat_body(&[user_message("Draft.")]);
        let options = Options::request("draft");
        let mut stream = caller
            .stream(address, &program, &body, options.clone())
            .await
            .unwrap();
        stream.next().await.unwrap().unwrap();
        let calling = caller.chat(address, &program, &body, Options::request("more"));
        let error = calling.await.unwrap_err();
        let problem = gradedyke_client::problem(&error).unwrap();
        assert_eq!(problem.kind, Kind::Overloaded);
        assert!(problem.retry_after_ms.is_some() && problem.not_run);
        // Another client account is not affected.
        let jordan = deployment.jordan_caller();
        let opening = jordan.open_program(address, "valuation", None, None, "open");
        opening.await.unwrap();
        deployment.engines.iter().for_each(|e| e.stall_at(None));
        stream.read_to_end().await.unwrap();
        deployment.stop().await;
    });
}

#[test]
fn operators_get_typed_refusals() {
    run_test(async {
        let deployment = Deployment::start(Config::default()).await.unwrap();
        let process = deployment.processes[0].as_ref().unwrap();
        let address = process.addresses().admin;
        let path = "/admin/v1/settings";
        let case = |name, method, key, body: &str, expected| Case {
            name,
            method,
            path: path.to_owned(),
            key,
            program: None,
            body: body.to_owned(),
            expected,
        };
        let cases = [
            case("no key", Method::GET, None, "", Kind::Unauthorized),
            case(
                "a caller's key",
                Method::GET,
                Some(JORDAN_KEY),
                "",
                Kind::Unauthorized,
            ),
            case(
                "no revision",
                Method::PUT,
                Some(OPERATOR_KEY),
                "{}",
                Kind::BadRequest,
            ),
            case(
                "wrong method",
                Method::DELETE,
                Some(OPERATOR_KEY),
                "",
                Kind::BadMethod,
            ),
        ];
        for case in cases {
            let (status, body) = send(address, &case).await;
            let problem = Problem::parse_body(&body).unwrap();
            assert_eq!(problem.kind, case.expected, "{}: {problem}", case.name);
            assert_eq!(status.as_u16(), problem.kind.status(), "{}", case.name);
        }
        let rejection = rejection_kind(
            deployment
                .jordan_caller()
                .program_action(address, "x", "")
                .await,
        );
        assert_eq!(rejection, Kind::Unauthorized);
        deployment.stop().await;
    });
}
