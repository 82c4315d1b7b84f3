/** Retry budgets, and the log of intents that makes requests with an idempotency key run once. */
package org.quetzalscale.core.retry;
