Feature: The coverage that an answer reports is its true coverage
  A caller uses the coverage to decide whether an answer is good enough. The
  items of the stand-in servers are known, so the steps compare each answer
  with the items of the key ranges that it reports as covered.

  Scenario: All replicas of one shard are lost and one comes back
    Given 4 shards with 2 replicas each
    And 3 daemons
    And callers that keep sending a different query
    When all replicas of shard 1 break down
    And the callers get coverage 0.75
    And the callers have got 100 more answers
    And server lots-1-0 starts again
    And the callers get coverage 1
    And the callers stop
    Then every answer has exactly the items of its snapshot and coverage
    And every answer misses exactly shard 1 or nothing

  Scenario: The shards are partitioned anew under running queries
    Given 2 shards with 4 replicas each
    And 3 daemons
    And callers that keep sending the same query
    When the servers are partitioned anew into 4 shards
    And the callers have got 100 more answers
    And the servers are partitioned anew into 2 shards
    And the callers have got 100 more answers
    And the callers stop
    Then every answer has exactly the items of its snapshot and coverage
    And the last answer is complete and comes from snapshot 1

  Scenario: A server claims to hold a version that it does not hold
    Given 2 shards with 2 replicas each
    And 2 daemons
    And callers that keep sending the same query
    When server lots-0-0 claims to hold index version 2
    And server lots-1-1 claims to hold index version 2
    And 3 s pass
    And the callers have got 50 more answers
    And the callers stop
    Then every answer has exactly the items of its snapshot and coverage

  Scenario: Shards are split while a server is lost and a daemon is killed
    Given 2 shards with 3 replicas each
    And 3 daemons
    And callers that keep sending the same query
    When replica 2 of every shard is split into 4 new shards
    And server lots-0-0 breaks down
    And daemon c is killed
    And the callers have got 200 more answers
    And the callers stop
    Then every answer has exactly the items of its snapshot and coverage
    And at least 100 answers are complete
