Feature: Each caller gets the whole answer to its own request
  Answers can arrive late, out of order, or after their attempt was abandoned.
  Each request asks for another item, so that an answer to another request is
  recognised.

  Scenario: Many replies are late
    Given servers of which 10 in 100 replies take 30 times longer
    And 3 daemons
    And callers that keep sending a different query
    When the callers have got 300 more answers
    And the callers stop
    Then every answer belongs to its own request
    And every answer has exactly the items of its snapshot and coverage

  Scenario: A paused daemon sends its replies late
    Given 3 shards with 3 replicas each
    And 3 daemons
    And callers that keep sending a different query
    When daemon a is paused until its peers take it for dead
    And daemon a continues
    And the callers have got 200 more answers
    And the callers stop
    Then every answer belongs to its own request
    And every answer has exactly the items of its snapshot and coverage

  Scenario: Connections to the servers go silent twice
    Given 3 shards with 3 replicas each
    And 2 servers that run claims
    And 3 daemons
    And callers that keep sending a different query
    And callers that keep sending claims
    When all open connections to the servers go silent
    And the callers have got 60 more answers
    And all open connections to the servers go silent
    And this moment is noted
    And the callers have got 150 more answers
    And the callers stop
    Then every answer belongs to its own request
    And every claim got the outcome of its own request
    And every answer has exactly the items of its snapshot and coverage
    And no answer took longer than 4 s

  Scenario: Connections of callers are cut and go silent
    Given 3 shards with 3 replicas each
    And 2 daemons
    And callers behind a relay that keep sending a different query
    When the connections of the callers are cut
    And the callers have got 60 more answers
    And the connections of the callers go silent
    And the callers have got 60 more answers
    And the callers stop
    Then every answer belongs to its own request
    And every answer has exactly the items of its snapshot and coverage
    And the callers saw broken connections
