Feature: Urgent work is served in a flood, and the other ranks keep a share
  At peak load the demand of one rank far exceeds the capacity. Urgent claims
  must still meet their deadlines. In an overload of urgent claims the other
  ranks keep their floor: 0.2 of the slots for routine work and 0.1 for
  deferrable work, within 10 in 100.

  Scenario Outline: A flood of <flood> claims
    Given 1 server with 10 slots that runs claims
    And 3 daemons
    And urgent claims below and <flood> claims far above the capacity
    When the flood has lasted long enough to fill all slots
    And the runs of 4 s of the flood are counted
    And the callers stop
    Then at least 99 in 100 urgent claims met their deadline
    And the server was busy for at least 75 in 100 of its slots
    And no claim ran twice

    Examples:
      | flood      |
      | deferrable |

    @known_red
    Examples:
      | flood      |
      | routine    |

  @known_red
  Scenario: A flood of urgent claims
    Given 1 server with 10 slots that runs claims
    And 3 daemons
    And urgent claims far above the capacity and enough of the other ranks
    When the flood has lasted long enough to fill all slots
    And the runs of 4 s of the flood are counted
    And the callers stop
    Then routine work got at least 0.18 of the runs
    And deferrable work got at least 0.09 of the runs
    And no claim ran twice
