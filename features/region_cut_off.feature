Feature: Each side of a network partition serves, and the sides join again
  A region is cut off from the store and the other region for longer than
  failure detection needs. Frames between the sides are dropped while their
  connections stay open. A claim whose issuer and witness are on different
  sides must not run twice, and the side without the store adopts the newer
  revision after the partition.

  Scenario: A region without the store is cut off and reached again
    Given 2 shards with 2 replicas each
    And 3 servers that run claims
    And a network that can be cut between daemons b,d and the rest
    And 4 daemons
    And callers of each side that keep sending queries
    And callers that keep sending claims
    And an observer of the revisions
    And a ticket from daemon a
    When the network is cut
    And the claim is sent to daemons a,b,c,d 2 times at once
    Then every answer says not_run or unknown
    When the sides a,c and b,d take each other for dead
    And the callers have got 60 more answers
    And this moment is noted
    And an operator applies a change
    Then the command exits with 0
    And revision 2 is in force at a,c within 3 s
    When the callers have got 100 more answers
    Then at least 95 in 100 answers that began later are complete
    And revision 1 is in force at b,d within 0 s
    When the network is whole again
    Then revision 2 is in force at a,b,c,d within 15 s
    And all daemons know each other again
    When the callers have got 50 more answers
    And the callers stop
    Then no daemon went back to an earlier revision
    And the claim ran 0 times
    And no claim ran twice
    And every claim that was answered run ran once
    And no claim that was answered not_run ran
