/** Checks of the guarantees to callers, from the answers that callers got and the starts that endpoints recorded. */
package org.gooseberrypier.load.check;
