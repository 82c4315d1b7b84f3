Feature: Maintenance and configuration
  What holds while operators change the fleet.

  Background:
    Given a deployment of 2 instances and 2 targets
    And a key of team "dairy-coop"

  Scenario: 1. Racing operators remove workers down to the availability budget and no further
    When racing operators delete one worker each
    Then exactly 1 of them succeeded
    And 1 worker is left

  Scenario: 2. Racing operators put one worker into two pools
    When racing operators create 10 workers, each in two pools
    Then exactly 10 of them succeeded
    And every worker is in the same pool everywhere

  Scenario: 8. A target that the platform's list shows as leaving gets no new work
    When target 1 leaves by the platform's list
    Then target 1 gets no new work after 3 s

  Scenario: 8. A target that is drained by declaration gets no new work
    When target 1 is drained
    Then target 1 gets no new work after 1 s

  Scenario: 8. A target that says so in its answers gets no new work
    When target 1 begins its shutdown
    Then target 1 gets no new work after 1 s

  Scenario: 9. A planned stop of an instance interrupts no request
    When 10 requests of 1500 ms are sent
    And 4 requests run
    And instance 1 is stopped gracefully
    And all answers are there
    Then every answer is the caller's own and whole
    And 10 requests were answered by a target

  Scenario: 9. A drain of a target interrupts no request
    When 10 requests of 1500 ms are sent
    And 4 requests run
    And target 1 is drained
    And all answers are there
    Then every answer is the caller's own and whole
    And 10 requests were answered by a target

  Scenario: 10. Racing operators while answers of the table are lost
    When racing operators change one pool 20 times while answers of the table are lost
    Then every accepted change was in force everywhere at once and none reverted
