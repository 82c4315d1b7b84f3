/** Leases on rows of the table, for decisions that one instance at a time takes. */
package org.quetzalscale.core.lease;
