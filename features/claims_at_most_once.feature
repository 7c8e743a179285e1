Feature: A claim runs at most once
  A claim or a payment must not run twice, whatever fails between the caller
  and the server, and however often the caller resends it with its ticket. The
  servers count every run, and the steps compare the counts with the answers.

  Scenario: A claim is sent to all daemons many times at once
    Given 3 servers that run claims
    And 3 daemons
    And a ticket from daemon a
    When the claim is sent to daemons a,b,c 5 times at once
    Then the claim ran 1 time
    And every answer says run or unknown

  Scenario: A daemon is killed under load
    Given 3 servers that run claims
    And 3 daemons
    And callers that keep sending claims
    When daemon a is killed
    And the callers have got 200 more answers
    And the callers stop
    Then no claim ran twice
    And every claim that was answered run ran once
    And no claim that was answered not_run ran

  Scenario: A daemon is paused past every timeout and continues
    Given 3 servers that run claims
    And 3 daemons
    And callers that keep sending claims
    When daemon b is paused until its peers take it for dead
    And the callers have got 100 more answers
    And daemon b continues
    And the callers have got 100 more answers
    And the callers stop
    Then no claim ran twice
    And every claim that was answered run ran once
    And no claim that was answered not_run ran

  Scenario: A server dies while it runs a claim, and the claim is sent again
    Given 3 servers that run claims
    And 3 daemons
    And a ticket from daemon a
    When a claim that crashes its server is sent to daemon a
    And a claim that crashes its server is sent to daemon b
    And a claim that crashes its server is sent to daemon a
    Then the claim ran 1 time
    And every answer says unknown

  Scenario: A daemon is killed while its claim runs
    Given 1 slow server that runs claims
    And 3 daemons
    And a ticket from daemon a
    When a claim sent to daemon a is running on its server
    And daemon a is killed
    And the first answer to the claim has come or its connection broke
    And the claim is sent to daemons b,c 2 times at once
    Then the claim ran 1 time
    And every answer says no answer or unknown

  Scenario: Connections to the servers go silent, and a daemon is killed
    Given 3 servers that run claims
    And 3 daemons
    And callers that keep sending claims
    When all open connections to the servers go silent
    And daemon c is killed
    And the callers have got 150 more answers
    And the callers stop
    Then no claim ran twice
    And every claim that was answered run ran once
    And no claim that was answered not_run ran

  Scenario: One daemon is paused and another one is killed
    Given 3 servers that run claims
    And 4 daemons
    And callers that keep sending claims
    When daemon a is paused until its peers take it for dead
    And daemon b is killed
    And the callers have got 100 more answers
    And daemon a continues
    And the callers have got 100 more answers
    And the callers stop
    Then no claim ran twice
    And every claim that was answered run ran once
    And no claim that was answered not_run ran
