package org.quetzalscale.acceptance.scenario;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.IncludeTags;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the scenarios in KNOWN-RED.txt; no part of the build. */
@Suite
@IncludeEngines("cucumber")
@IncludeTags("known-red")
@SelectPackages("org.quetzalscale.acceptance.scenario")
@ConfigurationParameter(key = "cucumber.glue", value = "org.quetzalscale.acceptance.scenario")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
final class KnownRedScenarios {}
