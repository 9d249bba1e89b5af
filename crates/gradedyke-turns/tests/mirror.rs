//! How old what a copy says may be.

use std::time::Duration;

use gradedyke_turns::mirror::{Cursor, Item, Mirror, News};
use tokio::time::Instant;

fn news(asked_ms: Option<i64>) -> News {
    News {
        whole: Some(7),
        age_ms: Some(20),
        asked_ms,
        ..News::default()
    }
}

#[tokio::test]
async fn what_lay_here_unread_is_as_old_as_the_question() {
    let asked = Instant::now();
    let mirror = Mirror::new(&[""]);
    assert_eq!(mirror.vouched(), None);
    // The process was stopped for 10 s between the question and the answer.
    let read = asked + Duration::from_secs(10);
    mirror.learn(news(Some(300)), Vec::new(), asked, read);
    assert_eq!(
        mirror.vouched(),
        asked.checked_sub(Duration::from_millis(300))
    );
    assert_eq!(mirror.age(read), Some(Duration::from_millis(20)));
}

#[tokio::test]
async fn a_copy_from_a_disk_vouches_for_nothing() {
    let now = Instant::now();
    let mirror = Mirror::new(&[""]);
    mirror.learn(news(None), Vec::new(), now, now);
    assert_eq!(mirror.vouched(), None);
    assert_eq!(mirror.news(&Cursor::default(), now, now).asked_ms, None);
}

#[tokio::test]
async fn the_age_grows_with_each_hop() {
    let start = Instant::now();
    let (first, second) = (Mirror::new(&[""]), Mirror::new(&[""]));
    first.learn(news(Some(300)), Vec::new(), start, start);
    // The second asks 50 ms later, and the first answers 100 ms after that.
    let asked = start + Duration::from_millis(50);
    let answered = asked + Duration::from_millis(100);
    let told = first.news(&Cursor::default(), asked, answered);
    assert_eq!(told.asked_ms, Some(351));
    second.learn(told, Vec::new(), asked, answered + Duration::from_millis(5));
    let vouched = second.vouched().unwrap();
    assert!(vouched <= first.vouched().unwrap());
    assert_eq!(answered - vouched, Duration::from_millis(451));
}

#[tokio::test]
async fn news_that_came_while_a_question_waited_are_younger_than_it() {
    let asked = Instant::now();
    let (first, second) = (Mirror::new(&[""]), Mirror::new(&[""]));
    // The service was asked 200 ms after the question to the first came in.
    let later = asked + Duration::from_millis(200);
    first.learn(
        news(Some(0)),
        Vec::new(),
        later,
        later + Duration::from_millis(50),
    );
    let told = first.news(
        &Cursor::default(),
        asked,
        asked + Duration::from_millis(300),
    );
    assert_eq!(told.asked_ms, Some(-200));
    second.learn(told, Vec::new(), asked, asked + Duration::from_millis(310));
    assert_eq!(second.vouched(), Some(later));
}

#[tokio::test]
async fn who_joined_a_copy_from_a_disk_learns_when_the_service_has_confirmed_it() {
    let now = Instant::now();
    let item = Item {
        key: "key".to_owned(),
        value: Some("value".into()),
        revision: 3,
    };
    let (keeper, entry) = (Mirror::new(&[""]), Mirror::new(&[""]));
    keeper.put(vec![item.clone()], now);
    let told = keeper.news(&Cursor::default(), now, now);
    let cursor = Cursor {
        boot: told.boot,
        change: told.next,
        ..Cursor::default()
    };
    let items = told.items.unpack().unwrap();
    entry.learn(told, items, now, now);
    assert_eq!((entry.get("key").is_some(), entry.vouched()), (true, None));
    // The service holds the same still, so that nothing changes but what is known of it.
    let mut changed = keeper.watch();
    changed.mark_unchanged();
    keeper.learn(news(Some(10)), vec![item], now, now);
    assert!(changed.has_changed().unwrap());
    let told = keeper.news(&cursor, now, now);
    let items = told.items.unpack().unwrap();
    entry.learn(told, items, now, now);
    assert!(entry.vouched().is_some());
    assert!(entry.age(now).is_some());
}
