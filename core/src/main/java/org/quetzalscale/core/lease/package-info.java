/** Leases stored in the table, which elect one instance at a time for a task. */
package org.quetzalscale.core.lease;
