Feature: A request that crashes servers is stopped
  Some requests crash every server that runs them, and their callers retry
  them. On a route that uses one server per request, such a request crashes
  two servers at most. After that every daemon refuses it, and all other
  requests are served.

  Scenario: A crashing query is sent again and again, to all daemons
    Given 4 servers that run claims
    And 3 daemons
    When a crashing query is sent 12 times to daemons a,b,c in turn
    Then at most 2 servers crashed
    And the last 6 answers refuse it as blocked and not run
    And other queries are served at once at a,b,c

  Scenario: Two servers fail at once while a healthy query runs on both
    Given 4 shards with 2 replicas each
    And 3 daemons
    And callers that keep sending the same query
    When all replicas of shard 1 break down
    And server lots-1-0 starts again
    And this moment is noted
    And the callers have got 100 more answers
    And the callers stop
    Then no query was refused as blocked

  Scenario: The daemon that saw the first crash is killed
    Given 4 servers that run claims
    And 3 daemons
    When a crashing query is sent to daemon a
    And daemon a is killed
    And a crashing query is sent 8 times to daemons b,c in turn
    Then at most 2 servers crashed
    And the last 4 answers refuse it as blocked and not run
    And other queries are served within 10 s at b,c
