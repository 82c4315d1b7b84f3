package org.quetzalscale.acceptance.scenario;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.ExcludeTags;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios of the invariants with Cucumber, but for those in KNOWN-RED.txt. */
@Suite
@IncludeEngines("cucumber")
@ExcludeTags("known-red")
@SelectPackages("org.quetzalscale.acceptance.scenario")
@ConfigurationParameter(key = "cucumber.glue", value = "org.quetzalscale.acceptance.scenario")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
final class ScenariosTest {}
