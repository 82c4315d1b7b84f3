Feature: Start of instances
  What holds while instances do not know each other yet.

  Scenario: 10. A change soon after the start of two instances
    Given 2 instances that have just become ready
    When an operator creates a pool
    Then what was answered as in force was in force everywhere
