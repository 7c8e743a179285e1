Feature: An accepted configuration is in force everywhere and stays
  A change that the operator's command accepts is in force at every daemon
  within 3 s. No daemon reverts to an earlier revision after a restart, a
  pause, an outage of the store or a lost answer.

  Scenario: A change reaches all daemons, also one that was paused
    Given 1 shards with 2 replicas each
    And 4 daemons
    And an observer of the revisions
    When an operator applies a change
    Then the command exits with 0
    And revision 2 is in force at a,b,c,d within 3 s
    When daemon c is paused until its peers take it for dead
    And an operator applies a change
    Then the command exits with 0
    And revision 3 is in force at a,b,d within 3 s
    When daemon c continues
    Then revision 3 is in force at a,b,c,d within 3 s
    And no daemon went back to an earlier revision

  Scenario: Operators race
    Given 1 shards with 2 replicas each
    And 3 daemons
    And an observer of the revisions
    When 4 operators apply different changes to revision 1 at once
    Then exactly one command exits with 0 and the others with 3
    And the winner's change is in force at a,b,c within 3 s
    And no daemon went back to an earlier revision

  Scenario: The answers to writes are lost
    Given 1 shards with 2 replicas each
    And 3 daemons
    And an observer of the revisions
    When the platform loses the next 2 answers to writes
    And an operator applies a change
    Then the command exits with 0
    And revision 2 is in force at a,b,c within 3 s
    And the audit trail has 1 change
    And no daemon went back to an earlier revision

  Scenario: The store is down, daemons restart, and the service goes on
    Given 2 shards with 2 replicas each
    And 3 daemons
    And callers that keep sending the same query
    And an observer of the revisions
    When an operator applies a change
    Then revision 2 is in force at a,b,c within 3 s
    When the platform is down
    And an operator applies a change
    Then the command exits with 4
    When this moment is noted
    And daemon a is killed
    And daemon a starts again
    And daemon b is killed
    And daemon b starts again
    And the callers have got 50 more answers
    Then revision 2 is in force at a,b,c within 3 s
    When the platform is up again
    And an operator applies a change
    Then the command exits with 0
    And revision 3 is in force at a,b,c within 6 s
    And no daemon went back to an earlier revision
    And at least 95 in 100 answers that began later are complete

  Scenario: The store is slow and a daemon is killed
    Given 1 shards with 2 replicas each
    And 4 daemons
    And an observer of the revisions
    When each call to the platform takes 0.3 s
    And daemon b is killed
    And an operator applies a change
    Then the command exits with 0
    And revision 2 is in force at a,c,d within 3 s
    And no daemon went back to an earlier revision
