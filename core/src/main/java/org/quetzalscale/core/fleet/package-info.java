/**
 * Interfaces to the platform's machine list, tasks and worker operations, with in-memory versions.
 */
package org.quetzalscale.core.fleet;
