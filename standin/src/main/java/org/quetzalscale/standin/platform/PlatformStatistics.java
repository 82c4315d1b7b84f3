package org.quetzalscale.standin.platform;

/**
 * Calls since the start.
 *
 * @param tableReads reads and scans
 * @param tableCommits transactions, conflicts included
 * @param tableVersion version of the latest commit
 */
public record PlatformStatistics(long tableReads, long tableCommits, long tableVersion) {}
