/** Retries: their budget, and the record of requests that carry an idempotency key. */
package org.quetzalscale.core.retry;
