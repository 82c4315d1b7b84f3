/** The billing ledger of executed attempts, and its reconciliation with the platform's records. */
package org.quetzalscale.core.billing;
