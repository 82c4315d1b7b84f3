Feature: Requests of teams
  What callers are promised, counted at the targets.

  Background:
    Given a deployment of 2 instances and 2 targets
    And a key of team "dairy-coop"

  Scenario: 3. A withdrawn key stops working, also on an instance without the table
    When the table is cut off from instance 2
    And the key is withdrawn
    And 10 requests are sent
    Then no request ran

  Scenario: 3. Work without a key is not accepted
    When 10 requests are sent without a key
    Then no request ran

  Scenario: 4. A team stays within its upper limit across the fleet
    Given a key of team "advisers"
    When 24 requests of 300 ms are sent
    And all answers are there
    Then at least 8 requests ran
    And never more than 8 requests ran at once

  Scenario: 4. A team stays within its upper limit while the table is down
    Given a key of team "advisers"
    When 2 requests of 1 ms are sent
    And all answers are there
    And the table is down
    And 24 requests of 300 ms are sent
    And all answers are there
    Then at least 2 requests ran
    And never more than 8 requests ran at once

  Scenario: 5, 6, 7. Connections to targets go silent
    When 8 requests of 1 ms are sent
    And all answers are there
    And 12 requests of 400 ms are sent
    And 3 requests run
    And all connections to the targets go silent
    And 20 requests of 1 ms are sent
    Then every answer is the caller's own and whole
    And what is told as not run did not run
    And every request ran at most once

  Scenario: 5, 6, 7. Targets close connections in the middle of answers
    When the targets cut their answers
    And 20 requests of 20 ms are sent
    Then every answer is the caller's own and whole
    And what is told as not run did not run
    And every request ran at most once

  Scenario: 6, 7. More requests than slots, units and time
    When 60 requests of 900 ms are sent
    Then every answer is the caller's own and whole
    And what is told as not run did not run
    And every request ran at most once

  Scenario: 5, 6, 7. A target dies while requests run on it
    When 12 requests of 300 ms are sent
    And all answers are there
    And 4 requests of 800 ms are sent for generated answers
    And 4 requests run
    And target 1 is killed
    Then every answer is the caller's own and whole
    And what is told as not run did not run
    And every request ran at most once
