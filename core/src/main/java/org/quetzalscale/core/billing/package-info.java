/** The ledger of attempts that ran, and its reconciliation with the platform's records. */
package org.quetzalscale.core.billing;
