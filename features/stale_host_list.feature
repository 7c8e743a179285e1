Feature: A stale host list sends no caller to a daemon that is gone
  The platform's host list lags by minutes: it still lists replaced hosts as
  live or leaving, and not yet their replacements. Address answers must contain
  live daemons only, each of which serves for as long as a caller may keep its
  address, and no request may be interrupted.

  @known_red
  Scenario: All hosts are replaced by others while the list stays the same
    Given 2 shards with 2 replicas each
    And 2 servers that run claims
    And 3 daemons
    And the platform lists daemons a,b,c as live and never changes its list
    And callers without a library that follow the address answers
    And an observer of the address answers
    When daemon a is replaced by daemon d
    And daemon b is replaced by daemon e
    And daemon c is replaced by daemon f
    And the callers have got 50 more answers
    And the callers stop
    Then every address was served for as long as it could be kept
    And callers are given the addresses of d,e,f
    And no request was interrupted or refused
    And every answer has exactly the items of its snapshot and coverage
    And no claim of these callers ran twice

  @known_red
  Scenario: Restarted hosts are still listed as leaving
    Given 2 shards with 2 replicas each
    And 2 servers that run claims
    And 3 daemons
    And the platform lists daemons a,b as leaving and never changes its list
    And callers without a library that follow the address answers
    And an observer of the address answers
    When daemons a,b stop and start again one after the other
    And the callers have got 50 more answers
    And the callers stop
    Then every address was served for as long as it could be kept
    And callers are given the addresses of a,b,c
    And no request was interrupted or refused
    And every answer has exactly the items of its snapshot and coverage
    And no claim of these callers ran twice
