Feature: A server that is leaving gets no new work
  Three seconds after the first sign that a server leaves, no daemon sends it
  new work, whichever sign comes first. The server counts all work that
  reaches it, including the work that it refuses.

  Scenario Outline: The first sign is <sign>
    Given 2 shards with 3 replicas each
    And 3 daemons
    And callers that keep sending the same query
    When server lots-0-0 leaves, which shows in <sign>
    Then server lots-0-0 gets no new work from 3 s after the sign on
    And the other servers of its shard do
    When the callers stop
    Then every answer has exactly the items of its snapshot and coverage
    And the last answer is complete and comes from snapshot 1

    Examples:
      | sign                     |
      | the platform's host list |
      | its status               |
      | its replies              |
      | an operator's drain      |

  @known_red
  Scenario: The server leaves while the platform is down and a daemon dies
    Given 2 shards with 3 replicas each
    And 3 daemons
    And callers that keep sending the same query
    When the platform is down
    And daemon b is killed
    And server lots-0-0 leaves, which shows in its status
    Then server lots-0-0 gets no new work from 3 s after the sign on
    And the other servers of its shard do
    When the callers stop
    Then every answer has exactly the items of its snapshot and coverage
