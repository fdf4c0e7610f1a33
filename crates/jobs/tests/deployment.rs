//! Versions of the configuration, and routes from requests to queues.

mod common;

use std::time::Duration;

use common::TestCluster;
use sesamedeal_jobs::DeploymentView;
use tokio::time::timeout;

/// Guards against replacing the configuration with an older version.
#[tokio::test]
async fn older_version_ignored() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    let mut versions = node.versions();
    timeout(Duration::from_secs(5), versions.changed())
        .await
        .unwrap()
        .unwrap();
    let current = node.view().load().unwrap();
    let view = DeploymentView::default();
    let mut newer = current.as_ref().clone();
    newer.version = 5;
    assert!(view.update_if_newer(newer.clone()));
    assert!(!view.update_if_newer(newer));
    assert!(!view.update_if_newer(current.as_ref().clone()));
    assert_eq!(view.load().unwrap().version, 5);
}

/// Guards against routing a job to a queue with a shorter prefix than that of the best match.
#[tokio::test]
async fn longest_prefix() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    let mut versions = node.versions();
    versions.changed().await.unwrap();
    let deployment = node.view().load().unwrap();
    assert_eq!(deployment.route("host", "/a/b/1").unwrap().prefix, "/a/b/");
    assert_eq!(deployment.route("host", "/a/1").unwrap().prefix, "/a/");
    assert!(deployment.route("other", "/a/1").is_none());
    assert!(deployment.route("host", "/b/1").is_none());
}
