/** The embeddable dispatcher, which receives events and emits effects. */
package org.gooseberrypier.api;
