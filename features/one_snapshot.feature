Feature: Every answer is computed from one snapshot
  Index versions change while queries run, and shards move between servers.
  An answer must never mix items of two index versions. Each item of the
  stand-in servers contains its version.

  Scenario: A new version is loaded and the old one is dropped
    Given 3 shards with 2 replicas each
    And 3 daemons
    And callers that keep sending the same query
    When all servers hold index version 1 and 2
    And the callers get snapshot 2
    And all servers hold index version 2
    And the callers have got 100 more answers
    And all servers hold index version 2 and 3
    And all servers hold index version 3
    And the callers get snapshot 3
    And the callers have got 100 more answers
    And the callers stop
    Then every answer comes from one snapshot
    And every answer has exactly the items of its snapshot and coverage
    And the last answer is complete and comes from snapshot 3

  Scenario: The old version is dropped at once, without a transition
    Given 3 shards with 2 replicas each
    And 3 daemons
    And callers that keep sending the same query
    When all servers hold index version 2
    And the callers get snapshot 2
    And the callers have got 100 more answers
    And the callers stop
    Then every answer comes from one snapshot
    And every answer has exactly the items of its snapshot and coverage
    And the last answer is complete and comes from snapshot 2

  Scenario: A version change while a daemon is paused and another is killed
    Given 3 shards with 2 replicas each
    And 4 daemons
    And callers that keep sending the same query
    When daemon b is paused until its peers take it for dead
    And all servers hold index version 1 and 2
    And all servers hold index version 2
    And daemon c is killed
    And daemon b continues
    And the callers have got 200 more answers
    And the callers get snapshot 2
    And the callers stop
    Then every answer comes from one snapshot
    And every answer has exactly the items of its snapshot and coverage

  Scenario: Servers that hold different versions are never mixed
    Given 3 shards with 2 replicas each
    And 3 daemons
    And callers that keep sending the same query
    When servers lots-0-0,lots-1-1,lots-2-0 hold index version 2
    And the callers have got 200 more answers
    And the callers stop
    Then every answer comes from one snapshot
    And every answer has exactly the items of its snapshot and coverage
    And at least 100 answers are complete
