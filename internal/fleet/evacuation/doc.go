// Package evacuation knows which availability zones operators evacuate: nothing is
// started in such a zone until it is restored, and what runs there may end.
package evacuation
