Feature: Every planned stop interrupts no request
  Operators restart daemons all day. A caller that follows the address answers
  must not be affected: no connection breaks with a request in flight, and no
  request is refused. The callers here don't use the client library, because
  its retries would hide an interruption.

  Scenario: All daemons are replaced, one after the other
    Given 3 shards with 2 replicas each
    And 2 servers that run claims
    And 3 daemons
    And callers without a library that follow the address answers
    When daemons a,b,c stop and start again one after the other
    And the callers stop
    Then no request was interrupted or refused
    And every answer belongs to its own request
    And every answer has exactly the items of its snapshot and coverage
    And no claim of these callers ran twice

  Scenario: Two daemons stop at the same time while the platform is down
    Given 3 shards with 2 replicas each
    And 2 servers that run claims
    And 4 daemons
    And callers that send rarely and follow the address answers
    When the platform is down
    And daemons b,c stop at the same time
    And the callers have got 10 more answers
    And the callers stop
    Then no request was interrupted or refused
    And every answer has exactly the items of its snapshot and coverage

  Scenario: The outcome of a claim survives the stop of its witness and issuer
    Given 2 servers that run claims
    And 3 daemons
    And a ticket from daemon a
    When the claim is sent to daemon a
    And daemons b,a stop at the same time
    And the outcome is asked for at daemon c
    And the claim is sent to daemon c
    Then the claim ran 1 time
    And every answer says run or unknown
