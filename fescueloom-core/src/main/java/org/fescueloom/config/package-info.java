/**
 * The configuration document that operators publish, its validation and its distribution to all
 * processes.
 */
package org.fescueloom.config;
