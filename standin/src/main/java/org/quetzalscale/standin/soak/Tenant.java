package org.quetzalscale.standin.soak;

/**
 * A tenant of the deployment.
 *
 * @param weight its usual number of jobs a second
 * @param cpuCap the processors that it may use in thousandths of a core; 0 for no limit
 */
record Tenant(String name, String key, int weight, int cpuCap) {}
