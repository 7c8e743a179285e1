Feature: A refusal that says not_run is true
  A caller that reads "not_run" sends the claim again with a new ticket, so
  the refused claim must never run later. This includes the case in which the
  daemon that was going to run the claim was only paused and continues.

  Scenario: A paused daemon finds its ticket sealed
    Given 2 servers that run claims
    And 3 daemons
    And a ticket from daemon a
    When daemon a is paused while the claim waits there
    And daemon a is paused until its peers take it for dead
    And the claim is sent to daemon b
    Then the last answer says not_run
    When daemon a continues
    And the first answer to the claim has come or its connection broke
    And the claim is sent to daemon a
    And the claim is sent to daemon c
    Then the claim ran 0 times
    And every answer says not_run or no answer

  Scenario: The outcome of a ticket that never started is asked for
    Given 2 servers that run claims
    And 3 daemons
    And a ticket from daemon a
    When the outcome is asked for at daemon b
    Then the last answer says not_run
    When the claim is sent to daemons a,b,c 3 times at once
    Then the claim ran 0 times
    And every answer says not_run

  Scenario: All servers refuse work because they drain
    Given 2 servers that run claims
    And 3 daemons
    And callers that keep sending claims
    When all servers begin to drain
    And the callers have got 50 more answers
    And the callers stop
    Then at least 20 claims were answered not_run
    And no claim that was answered not_run ran
    And no claim ran twice

  Scenario: The servers are overloaded and a daemon is killed
    Given 1 slow server that runs claims
    And 3 daemons
    And far more claims than the server can run
    When daemon a is killed
    And the callers have got 200 more answers
    And the callers stop
    Then at least 20 claims were answered not_run
    And no claim that was answered not_run ran
    And no claim ran twice
