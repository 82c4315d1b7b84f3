/** Availability budgets, drains and maintenance waves. */
package org.quetzalscale.core.maintenance;
