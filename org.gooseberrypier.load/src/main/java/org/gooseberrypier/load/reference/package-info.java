/** Response times of an ideal queue without coordination cost, as a reference for measured ones. */
package org.gooseberrypier.load.reference;
