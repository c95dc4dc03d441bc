// Command egrettack-testkit runs the stand-ins of the tests and the demo.
package main

func main() {}
